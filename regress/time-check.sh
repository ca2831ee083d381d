#!/bin/sh
# Tests of requests that run out of time: the real programs, in the folder $1, run against
# stand-ins of the users' platform.
"$1/direct" "$1" time
