#!/bin/sh
# Measures, with the programs in directory $1, the time until accepted settings are in effect on
# every entry and slot, and the cost of the control plane while idle.
# The time runs from the end of the operator's command, or from the first process that applied
# the revision if that is earlier, to the last process that applied it, by their logs.
# Environment: ENTRIES and SLOTS, lists of numbers, of which every pair is measured.
set -eu
bin=$1
entries=${ENTRIES:-8 16 32 64}
slots=${SLOTS:-24}
log=$(mktemp)
trap 'rm -f "$log"' EXIT

# Prints the figures of one run; standard input is its logs.
figures() {
	awk -v name="$1" '
	function field(key) {
		if (!match($0, "\"" key "\":[0-9]+"))
			return 0
		return substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3) + 0
	}
	/"event":502,/ && match($0, /accepted as revision [0-9]+/) {
		accepted[substr($0, RSTART + 21, RLENGTH - 21) + 0] = field("time_ms")
	}
	/"event":(300|604),/ {
		r = field("revision"); t = field("time_ms"); applied[r]++
		if (t > last[r]) last[r] = t
		if (!(r in first) || t < first[r]) first[r] = t
	}
	END {
		for (r in accepted)
			if (r in last) {
				if (first[r] < accepted[r]) accepted[r] = first[r]
				d = last[r] - accepted[r]; sum += d; n++
				if (d > max) max = d
				if (least == 0 || applied[r] < least) least = applied[r]
			}
		if (n == 0)
			exit
		printf "figure %s_processes %d processes\n", name, least
		printf "figure %s_in_force_mean %.3f s\n", name, sum / n / 1000
		printf "figure %s_in_force_max %.3f s\n", name, max / 1000
	}'
}

for e in $entries; do
	for s in $slots; do
		name="settings_${e}_$s"
		if ! "$bin/scenario" --bin "$bin" --limit 300 --quiet --keep --set entries="$e" \
			--set slots="$s" regress/bench/settings.scn >"$log" 2>&1; then
			grep -E 'scn:|FAILED' "$log" | sed "s/^/$name: /"
		fi
		folder=$(sed -n 's/^kept: //p' "$log")
		cat "$folder"/e*.log "$folder"/draft-*.log | figures "$name"
		sed -n "s/^figure /figure ${name}_/p" "$log"
		rm -rf "$folder"
	done
done
