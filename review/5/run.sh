#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/deploy/hibiscus-gateway ] && [ -x target/review/standins ] || exit 2
timeout -k 2 115 target/review/standins stop-in-transaction review/5/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
