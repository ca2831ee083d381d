#!/bin/sh
# Tests of stagers whose engine takes no chunks: the real programs, in the folder $1, run
# against stand-ins of the users' platform.
"$1/direct" "$1" staging
