#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=3 118 java -Xmx128m -XX:TieredStopAtLevel=1 -cp review/target/classes review.UnreadableEntry review/1
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
