#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run. With TROUBLE=0 no store is killed.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/RefusedRuns.class ] || exit 2
exec java -Xmx1g -cp target/review RefusedRuns review/1/record.txt
