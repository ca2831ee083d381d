#!/bin/sh
# Prints the figures of docs/MEASUREMENTS.md with the programs in the folder $1.
set -eu
for b in scripts/bench-*.sh; do
	sh "$b" "$1"
done
