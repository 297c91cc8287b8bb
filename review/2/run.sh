#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does the
# same without the disruption. The case itself is review/standins/Case2.java; review/build.sh builds it.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/review/review/Case2.class ] || exit 2
export TROUBLE=${TROUBLE:-1}
exec java -Xmx128m -cp target/beechhoist.jar:target/review review.Case2 "$here/record.txt"
