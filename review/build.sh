#!/bin/sh
# Builds the stand-ins of the cases into target/review. The programs themselves come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/rig/*.java
