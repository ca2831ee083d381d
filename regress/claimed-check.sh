#!/bin/sh
# Tests of list entries at the address of another upstream: the real programs, in the folder
# $1, run against stand-ins of the users' platform.
"$1/direct" "$1" claimed
