#!/bin/sh
# Tests of configurations that come while requests run: the real programs, in the folder $1,
# run against stand-ins of the users' platform.
"$1/direct" "$1" config
