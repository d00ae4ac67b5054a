#!/bin/sh
# Builds the jar, and beside it an archive of class data that makes the start cheap: the classes are those that
# the loopback tests of the front door, its streams, its operators' calls and its warm-up load. Without the
# archive the program runs all the same, at twice the start's CPU; the runtime refuses one older than the jar.
set -e
mvn -q -B -pl front -am -DskipTests package
rm -f front/target/willowdoor.jsa front/target/classes.lst
# Whether a test passes is the test command's business: one that fails here has loaded its classes all the same.
mvn -q -B -pl front -am test -DforkCount=1 -Dtest=FrontDoorTest,StreamingTest,ManagementTest,WarmUpTest \
  -Dsurefire.failIfNoSpecifiedTests=false -Dmaven.test.failure.ignore=true \
  "-DargLine=-XX:DumpLoadedClassList=$PWD/front/target/classes.lst" > front/target/archive.log 2>&1 &&
  java -Xshare:dump -XX:+UseSerialGC -Xlog:disable -Xlog:all=off -XX:SharedClassListFile=front/target/classes.lst \
    -XX:SharedArchiveFile=front/target/willowdoor.jsa -jar front/target/willowdoor.jar \
    >> front/target/archive.log 2>&1 ||
  echo "no class-data archive: see front/target/archive.log" >&2
