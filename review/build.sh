#!/bin/sh
# Builds what the scripts of the cases start besides the programs of the deploy file: the
# stand-ins, the project's own among them, and the clients.  Run after the deploy file's
# build, from any folder.
set -eu
cd "$(dirname "$0")/.."
make -j8 lib platform BUILD=fast
standin=../../regress/standin
direct=../../regress/direct
build () {
	make -j8 -C review/common BUILD=fast PROG="$1" SRCS="$2"
}
build review-standin "origin.c $standin/standin.c $standin/objects.c $standin/server.c $standin/weights.c"
for case in silent_case lost_key_case foreign_case manifest_case left_case; do
	build "review-$case" "$case.c bed.c $direct/http.c $direct/proxy.c $direct/mutate.c $direct/endless_peer.c"
done
