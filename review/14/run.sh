#!/usr/bin/env bash
# 1: an acknowledged commit is missing in the log of a promoted member, 0: the rule held, 2: not run.
# TROUBLE=0: without the disruptions.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/stand ] && [ -x target/deploy/hibiscus-gateway ] || exit 2
exec target/review-3/stand cut-replica review/14 target/deploy/hibiscus-gateway
