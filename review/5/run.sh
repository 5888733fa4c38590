#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the disruption.
# It needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/dykeledge ] && [ -x target/review-2 ] || { echo "not built" >&2; exit 2; }
exec target/review-2 oversized "$here/record.txt"
