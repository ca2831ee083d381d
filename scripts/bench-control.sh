#!/bin/sh
# Measures, with the programs in directory $1, the load of a rollout on the object API and on a
# relay.  Environment: SLOTS, a list of numbers of hosts.
set -eu
bin=$1
for n in ${SLOTS:-12 24 48 96}; do
	"$bin/scenario" --bin "$bin" --limit 300 --quiet --set slots="$n" \
		regress/bench/control.scn 2>&1 |
		sed -n -e "s/^figure /figure control_${n}_/p" -e '/scn:[0-9]/p'
done
