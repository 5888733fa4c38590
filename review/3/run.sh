#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dykeledge ] && [ -x target/review-standin ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/review-standin 3 target/dykeledge review/3/record.txt
