#!/bin/sh
# The soak of direct operation with fixed seeds: two, and each that ever failed; JOBS (3) at a
# time, since they mostly wait.  The lines of regress/direct/seeds are "SEED SECONDS", with
# what it was for after a "#".
# shellcheck disable=SC2016
sed -n 's/^\([0-9][0-9]* [0-9][0-9]*\).*/\1/p' regress/direct/seeds |
	xargs -P "${JOBS:-3}" -L 1 sh -c '"$0/direct" "$0" "$1" "$2"' "$1"
