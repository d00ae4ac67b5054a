#!/bin/sh
# Builds the jar, and beside it an archive of class data that makes the start cheap: the classes are those that
# the loopback tests of the front door, its streams, its operators' calls and its rehearsal load. Without the archive the
# program runs all the same, at twice the start's CPU; the runtime refuses one that is older than the jar.
set -e
mvn -q -B -DskipTests package
rm -f target/willowdoor.jsa target/classes.lst
# Whether a test passes is the test command's business: one that fails here has loaded its classes all the same.
mvn -q -B surefire:test -Dtest=FrontDoorTest,StreamingTest,ManagementTest,RehearsalTest -Dmaven.test.failure.ignore=true \
  "-DargLine=-XX:DumpLoadedClassList=target/classes.lst" > target/archive.log 2>&1 &&
  java -Xshare:dump -XX:+UseSerialGC -Xlog:disable -Xlog:all=off -XX:SharedClassListFile=target/classes.lst \
    -XX:SharedArchiveFile=target/willowdoor.jsa -jar target/willowdoor.jar >> target/archive.log 2>&1 ||
  echo "no class-data archive: see target/archive.log" >&2
