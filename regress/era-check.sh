#!/bin/sh
# Tests of a store that comes back from an older copy: the real programs, in the folder $1,
# run against stand-ins of the users' platform.
"$1/direct" "$1" era
