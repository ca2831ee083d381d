#!/bin/sh
# Tests of the time up to which entries serve by an old proof of their routing table: the real
# programs, in the folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" proof-bound
