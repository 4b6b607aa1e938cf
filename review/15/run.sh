#!/usr/bin/env bash
# 1: more requests of a tenant ran in a window of 5 s than its limit allows, 0: the rule held, 2: not
# run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/stand ] && [ -x target/deploy/hibiscus-gateway ] || exit 2
exec target/review-3/stand first-start review/15 target/deploy/hibiscus-gateway
