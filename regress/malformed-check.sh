#!/bin/sh
# Tests of malformed messages at each socket that a process reads: the real programs, in the
# folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" malformed
