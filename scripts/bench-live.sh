#!/bin/sh
# Measures, with the programs in directory $1, live requests with and without a rollout, and the
# cost of a byte of weights at a slot compared with the cost of its digest alone.
set -eu
"$1/daisybench" hash
"$1/scenario" --bin "$1" --limit 300 --quiet regress/bench/live.scn | grep -E '^figure |scn:|FAILED'
