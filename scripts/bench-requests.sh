#!/bin/sh
# Measures live requests with the programs in directory $1: the delay that one entry adds
# compared with the same client at the engine itself, the rate that one entry sustains, and its
# goodput at twice the capacity of its engines.
# Environment: RATES (requests per second to try), SECONDS_EACH (duration of each load).
set -eu
bin=$1
rates=${RATES:-250 500 1000 2000 3000}
each=${SECONDS_EACH:-6}
log=$(mktemp)
trap 'rm -f "$log" "$log.f"' EXIT

# Starts the fleet in the background: fleet SECONDS VARIABLES...
fleet() {
	seconds=$1
	shift
	: >"$log"
	"$bin/scenario" --bin "$bin" --limit 600 --quiet --set time="${seconds}s" "$@" \
		regress/bench/requests.scn >"$log" 2>&1 &
	fleet=$!
	tries=0
	until grep -q '^ready ' "$log"; do
		tries=$((tries + 1))
		if [ "$tries" -gt 600 ] || ! kill -0 "$fleet" 2>/dev/null; then
			cat "$log"
			exit 1
		fi
		sleep 0.2
	done
	read -r _ entry engine _ <<-EOF
		$(grep '^ready ' "$log")
	EOF
}

fleet_end() {
	wait "$fleet" || grep -E 'scn:|FAILED' "$log" || true
}

load() { # NAME OPTIONS...
	name=$1
	shift
	"$bin/daisybench" load -R figures -N "$name" -o bench -d "$each" -n 20000 "$@" |
		tee "$log.f"
}

value() { # prints the value of the last load's figure whose name ends with $1
	sed -n "s/^figure [a-z0-9_]*_$1 \([0-9.]*\) .*/\1/p" "$log.f"
}

# The delay that one entry adds.
fleet $((each * 2 + 4))
load direct -D "$engine" -r 200 -t 10
direct=$(value first_p50)/$(value first_p95)/$(value first_p99)
load entry -f -e "$entry" -r 200 -t 10
echo "$direct/$(value first_p50)/$(value first_p95)/$(value first_p99)" | awk -F/ '{
	printf "figure entry_added_p50 %.3f ms\nfigure entry_added_p95 %.3f ms\nfigure entry_added_p99 %.3f ms\n",
		$4 - $1, $5 - $2, $6 - $3 }'
fleet_end

# The rate that one entry sustains: short responses at increasing rates.
for rate in $rates; do
	fleet $((each + 3))
	load "rate_$rate" -f -e "$entry" -r "$rate" -t 1
	fleet_end
done

# Twice the capacity of the engines; that of one engine is measured at the engine itself.
fleet $((each * 2 + 8)) --set capacity=8 --set tokens_per_s=200 --set queue=8
load carried -D "$engine" -r 300 -t 20
carried=$(value goodput)
load overload -f -e "$entry" -r "$(awk -v c="$carried" 'BEGIN { printf "%d", c * 4 }')" -t 20
awk -v c="$carried" -v g="$(value goodput)" \
	'BEGIN { printf "figure overload_goodput_ratio %.3f part\n", g / (c * 2) }'
fleet_end

# Time to the first token with and without routing by prefix: prompts begin with one of 60
# prefixes, each of four engines caches 20, and a prefill takes 200 ms.  The first load fills
# the caches.
for by in true false; do
	fleet $((each * 3 + 6)) --set engines=4 --set capacity=64 --set tokens_per_s=200 \
		--set prefill_ms=200 --set cache_entries=20 --set by_prefix=$by
	"$bin/daisybench" load -o bench -d "$each" -f -e "$entry" -r 40 -t 5 -x 60 -b 300 -S 3 \
		>/dev/null
	load "prefix_$by" -f -e "$entry" -r 40 -t 5 -x 60 -b 300 -S 4
	fleet_end
done

for f in requests-calls requests-gone; do
	"$bin/scenario" --bin "$bin" --quiet "regress/bench/$f.scn" | grep -E '^figure |FAILED'
done
