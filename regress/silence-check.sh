#!/bin/sh
# Tests of upstreams that fall silent or break off while no other has a free place: the real
# programs, in the folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" silence
