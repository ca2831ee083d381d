#!/bin/sh
# Tests of responses that do not belong where they arrive: the real programs, in the folder
# $1, run against stand-ins of the users' platform.
"$1/direct" "$1" crossed && "$1/direct" "$1" copied
