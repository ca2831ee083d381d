#!/bin/sh
# Tests of whole responses with a malformed line, length, chunk or trailer: the real programs,
# in the folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" spoilt
