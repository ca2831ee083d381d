#!/bin/sh
# Tests of upstreams that name a limit of requests a second: the real programs, in the
# folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" limit
