#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
# The fault shows only where the steady clock of the machine is above 1,200 s, so the case doesn't run on one that was started later.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -f target/review/Muted.class ] || exit 2
up=$(cut -d. -f1 /proc/uptime)
[ "$up" -ge 1200 ] || { echo "case muted: the machine has been up for $up s, 1200 s are needed"; exit 2; }
exec java -Xmx1g -Dports=4 -cp "target/review:target/lib/*" Muted
