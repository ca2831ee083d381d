#!/bin/sh
# Demonstrates the whole path on loopback: 8 entries and 24 upstream hosts in three regions, a
# rollout under live requests, and a host that is killed in the middle of it.
set -eu
bin=$1
exec "$bin/scenario" --bin "$bin" --limit 58 regress/demo/demo.scn
