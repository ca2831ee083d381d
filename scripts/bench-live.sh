#!/bin/sh
# Measures live requests with and without a rollout, and what a byte of weights costs a slot,
# beside what its digest alone costs, with the programs in the folder $1.
set -eu
"$1/daisybench" hash
"$1/scenario" --bin "$1" --limit 300 --quiet regress/bench/live.scn | grep -E '^figure |scn:|FAILED'
