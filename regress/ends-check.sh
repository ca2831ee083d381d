#!/bin/sh
# Tests of ends that take their time: a kernel and the real programs, in the folder $1, that stand
# still while they end, or before they handle what came.
"$1/unit" ends
unit=$?
"$1/unit" ends-crossed
crossed=$?
"$1/direct" "$1" ends && [ "$unit" -eq 0 ] && [ "$crossed" -eq 0 ]
