#!/bin/sh
# Tests of odd objects in the store: the real programs, in the folder $1, run against
# stand-ins of the users' platform.
"$1/direct" "$1" entries
