#!/bin/sh
# Tests of responses whose connection ends within the head: the real programs, in the folder
# $1, run against stand-ins of the users' platform.
"$1/direct" "$1" heads
