#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/standin-2/classes/Crowded.class ] && [ -f target/pumicekeel.jar ] || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
trap 'rm -rf "$CASE_TMP"' EXIT
java -cp review/standin-2/classes Crowded review/10 &
driver=$!
trap 'kill "$driver"' INT TERM
wait "$driver"
