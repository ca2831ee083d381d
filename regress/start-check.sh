#!/bin/sh
# Tests of the start of entries: the real programs, in the folder $1, run against stand-ins of the
# users' platform.
"$1/direct" "$1" start
