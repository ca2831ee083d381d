#!/bin/sh
# Tests of direct operation against peers whose bytes never end, with the programs in the
# folder $1.
"$1/direct" "$1" endless && "$1/direct" "$1" endless-peers
