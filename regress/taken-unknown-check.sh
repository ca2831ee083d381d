#!/bin/sh
# Tests of weights of which no stager has told: the real programs, in the folder $1, run
# against stand-ins of the users' platform.
"$1/direct" "$1" taken-unknown
