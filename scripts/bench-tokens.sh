#!/bin/sh
# Measures the cost of streams at one entry and its slots, with the programs in directory $1.
# Environment: RATES (requests per second), TOKENS (tokens per request), of which every pair is
# measured.
set -eu
for rate in ${RATES:-10 20 40}; do
	for tokens in ${TOKENS:-100 400}; do
		"$1/scenario" --bin "$1" --limit 120 --quiet --set rate="$rate" --set tokens="$tokens" \
			regress/bench/tokens.scn | sed -n "s/^figure /figure stream_${rate}_${tokens}_/p"
	done
done
