#!/bin/sh
# Tests of prompt parts that crash the upstreams that process them: the real programs, in
# the folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" quarantine
