#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -f target/review/Case2.class ] || exit 2
exec java -Xmx1g -Dports=2 -cp "target/review:target/lib/*" Case2
