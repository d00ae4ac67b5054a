#!/bin/sh
# Builds the jar, and beside it an archive of class data that makes the start cheap: the classes are those that
# the loopback tests of the front door, its streams and its operators' calls load. Without the archive the
# program runs all the same.
set -e
mvn -q -B -DskipTests package
mvn -q -B surefire:test -Dtest=FrontDoorTest,StreamingTest,ManagementTest "-DargLine=-XX:DumpLoadedClassList=target/classes.lst" &&
  java -Xshare:dump -XX:+UseSerialGC -Xlog:disable -Xlog:all=off -XX:SharedClassListFile=target/classes.lst \
    -XX:SharedArchiveFile=target/willowdoor.jsa -jar target/willowdoor.jar > target/archive.log 2>&1 ||
  echo "no class-data archive: see target/archive.log" >&2
