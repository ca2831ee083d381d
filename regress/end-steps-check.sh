#!/bin/sh
# Tests of entries, in the folder $1, that stand still before a step of their end or their start.
"$1/direct" "$1" end-steps
