#!/bin/sh
# Direct operation: the real programs against stand-ins of the users' platform.
"$1/direct" "$1"
