#!/bin/sh
# Builds both programs into one jar, and beside it for each an archive of the class data that its start loads.
# Without an archive the program runs all the same, with a dearer start; the runtime refuses one that is not of
# this jar, path and runtime.
set -e
mvn -q -B -DskipTests -pl app -am package
mkdir -p target
rm -f target/gateway.jsa target/controlplane.jsa
cp app/target/elmsail-app-*-all.jar target/elmsail.jar
# Written under another name first: the runtime does not refuse an archive that was cut short, it crashes on it.
archive() {
  timeout 60 java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k -XX:-UsePerfData \
    -XX:ArchiveClassesAtExit="target/$1.jsa.part" -Dio.netty.leakDetection.level=disabled \
    -Dio.netty.jfr.enabled=false -Dio.netty.processId=1 -Dio.netty.machineId=02:00:00:00:00:00:00:01 \
    -cp target/elmsail.jar "$2" --rehearse > "target/$1-archive.log" 2>&1 &&
    mv -f "target/$1.jsa.part" "target/$1.jsa" ||
    echo "no archive of class data for $1: see target/$1-archive.log" >&2
  rm -f "target/$1.jsa.part"
}
archive gateway elmsail.app.GatewayMain
archive controlplane elmsail.app.ControlPlaneMain
