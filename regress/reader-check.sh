#!/bin/sh
# Tests of entries that read the store for others: the real programs, in the folder $1, run
# against stand-ins of the users' platform.
"$1/direct" "$1" reader
