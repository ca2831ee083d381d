#!/bin/sh
# Tests of a fleet of many entries, most of them played by the test: the real programs, in
# the folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" fleet
