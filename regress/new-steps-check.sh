#!/bin/sh
# Test of new connections to entries, in the folder $1, that stand still as they close their
# listening sockets.
"$1/direct" "$1" new-steps
