#!/bin/sh
# Tests of upstreams that leave by their own word, or ask entries to hold off: the real
# programs, in the folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" leaving
