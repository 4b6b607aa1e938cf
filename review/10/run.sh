#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
if ! [ -x target/review-2/case ] || ! [ -x target/deploy/hibiscus-gateway ]; then
  echo "build the deploy file and run review/build-2.sh first"
  exit 2
fi
# A process group of its own, so that nothing outlives the case.
set -m
target/review-2/case wide-priority review/10/record.txt &
pid=$!
trap 'kill -KILL -- "-$pid" 2>/dev/null || true' EXIT
wait "$pid"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
