#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-4 ] || { echo "run review/build.sh first" >&2; exit 2; }
target/review/case-4 --record review/4/record.txt --trouble "${TROUBLE:-1}"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
