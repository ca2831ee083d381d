#!/bin/sh
# The soak of direct operation with fixed seeds: two, and each that ever failed.  The lines of
# regress/direct/seeds are "SEED SECONDS", with what it was for after a "#".
status=0
while read -r seed seconds _; do
	case $seed in '' | '#'*) continue ;; esac
	"$1/direct" "$1" "$seed" "$seconds" || status=1
done <regress/direct/seeds
exit $status
