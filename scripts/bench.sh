#!/bin/sh
# Runs the measurements of docs/MEASUREMENTS.md with the programs in directory $1.
set -eu
for b in scripts/bench-*.sh; do
	sh "$b" "$1"
done
