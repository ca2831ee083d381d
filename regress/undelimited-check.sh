#!/bin/sh
# Tests of responses that end with their connection: the real programs, in the folder $1,
# run against stand-ins of the users' platform.
"$1/direct" "$1" undelimited
