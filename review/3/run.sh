#!/bin/sh
# Plays the case (TROUBLE=0: without the disruption). Exit status: 1 the rule was broken, 0 it held, 2 not played.
# Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/build/DrainCase.class ] && [ -f target/pumicekeel.jar ] || { echo "not built"; exit 2; }
exec java -Xmx1g -XX:+UseSerialGC -cp review/build DrainCase . review/3
