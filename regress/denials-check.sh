#!/bin/sh
# Tests of requests that the routing table does not allow, at entries whose table may have been
# replaced: the real programs, in the folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" denials
