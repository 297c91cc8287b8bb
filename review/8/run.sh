#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/beechhoist.jar ] && [ -d target/review-2 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec java -Xmx512m -cp target/review-2:target/beechhoist.jar Case8 review/8
