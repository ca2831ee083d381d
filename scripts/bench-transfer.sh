#!/bin/sh
# Measures transfers of new weights with the programs in directory $1.
# The time runs from when the first slot starts its transfer to when the last slot's replica is
# complete, by the slots' logs; the copies fetched from the origin are counted by its stand-in.
# Environment: HOSTS (numbers of hosts), POLICIES, CASES (plain shared baseline faults).
set -eu
bin=$1
hosts=${HOSTS:-16 32 64 128}
policies=${POLICIES:-origin-bytes time}
cases=${CASES:-plain shared baseline faults}
log=$(mktemp)
trap 'rm -f "$log"' EXIT

# Prints the figures of one run: figures NAME COPY_MS COPY_BYTES; standard input is the slots'
# logs.
figures() {
	awk -v name="$1" -v copy_ms="$2" -v bytes="$3" '
	function field(key) {
		if (!match($0, "\"" key "\":[0-9]+"))
			return 0
		return substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3) + 0
	}
	/"event":700,/ { t = field("time_ms"); if (first == 0 || t < first) first = t }
	/"event":701,/ && !($0 in seen) {
		seen[$0] = 1
		t = field("time_ms"); if (t > last) last = t
		received += field("received_bytes"); duplicate += field("duplicate_bytes")
		region += field("region_bytes"); whole++
	}
	END {
		printf "figure %s_hosts %d hosts\n", name, whole
		printf "figure %s_time %.3f copy-times\n", name, (last - first) / copy_ms
		printf "figure %s_region %.3f copies\n", name, region / bytes / 2
		printf "figure %s_duplicates %.4f part\n", name, duplicate / received
	}'
}

run() { # NAME BYTES RATE FILE VARIABLES...
	name=$1
	bytes=$2
	rate=$3
	file=$4
	shift 4
	if ! "$bin/scenario" --bin "$bin" --limit 600 --quiet --keep \
		--set bytes="$bytes" --set rate="$rate" --set origin_rate=$((rate * 2)) \
		"$@" "regress/bench/$file.scn" >"$log" 2>&1; then
		grep -E 'scn:|FAILED' "$log" | sed "s/^/$name: /"
	fi
	folder=$(sed -n 's/^kept: //p' "$log")
	sed -n "s/^figure drawn /figure ${name}_origin /p" "$log"
	cat "$folder"/draft-*.log | figures "$name" $((bytes * 1000 / rate)) "$bytes"
	rm -rf "$folder"
}

for policy in $policies; do
	p=$(echo "$policy" | tr - _)
	for n in $hosts; do
		for c in $cases; do
			case $c in
			plain) run "transfer_${p}_$n" 8388608 2097152 transfer \
				--set hosts="$n" --set weigh="$policy" ;;
			shared) run "transfer_${p}_${n}_shared" 8388608 2097152 transfer \
				--set hosts="$n" --set weigh="$policy" --set shared=true ;;
			faults) run "transfer_${p}_${n}_faults" 8388608 2097152 transfer-faults \
				--set hosts="$n" --set weigh="$policy" ;;
			baseline) [ "$policy" = origin-bytes ] &&
				run "transfer_baseline_$n" 2097152 2097152 transfer \
					--set hosts="$n" --set exchange=false ;;
			esac
		done
	done
done
