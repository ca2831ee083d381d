#!/bin/sh
# Tests of upstreams that are to replace a silent one which goes on: the real programs, in the
# folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" replacement
