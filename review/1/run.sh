#!/bin/sh
# Plays the case: 1 when the rule was broken, 0 when it held, 2 when it could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=build/fast/bin/review-silent_case
[ -x "$program" ] || exit 2
REVIEW_RECORD="$here/record.txt" exec "$program"
