#!/bin/sh
# Tests of nodes that start behind a narrow link to the store: the real programs, in the folder
# $1, run against stand-ins of the users' platform.
"$1/direct" "$1" narrow-link
