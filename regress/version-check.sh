#!/bin/sh
# Tests of requests that start on weights which should have been replaced: the real
# programs, in the folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" version-start &
start=$!
"$1/direct" "$1" version
status=$?
wait "$start" && exit "$status"
