#!/bin/sh
# Tests of manifests that the origin spoils: the real programs, in the folder $1, run
# against stand-ins of the users' platform.
"$1/direct" "$1" manifests
