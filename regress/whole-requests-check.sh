#!/bin/sh
# Tests of whole requests that crash the upstreams that process them: the real programs, in
# the folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" whole-requests
