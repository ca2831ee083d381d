#!/bin/sh
# Tests of entries whose readers' copies are all too old: the real programs, in the folder $1,
# run against stand-ins of the users' platform.
"$1/direct" "$1" stale-readers
