#!/bin/sh
# Tests of requests confined to regions, evacuated data centres and cold upstreams: the real
# programs, in the folder $1, run against stand-ins of the users' platform.
"$1/direct" "$1" places
