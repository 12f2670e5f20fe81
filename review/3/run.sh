#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 110 bin/review-standins longvalue review/3
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
