#!/bin/sh
# Tests of open connections that go silent: the real programs, in the folder $1, run against
# stand-ins of the users' platform.
"$1/direct" "$1" silent-store
