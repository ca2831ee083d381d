#!/bin/sh
# Checks that docs/EVENTS.md lists exactly the events of lib/kernel/events.def.
set -eu
a=$(mktemp)
b=$(mktemp)
trap 'rm -f "$a" "$b"' EXIT
sed -n 's/^DL_EVENT_DEF *(\([A-Z0-9_]*\), *\([0-9]*\), *\([A-Z]*\),.*/\2 \1 \3/p' \
	lib/kernel/events.def | sort >"$a"
sed -n 's/^| \([0-9]*\) | `\([A-Z0-9_]*\)` | \([A-Z]*\) |.*/\1 \2 \3/p' docs/EVENTS.md | sort >"$b"
diff "$a" "$b" || { echo "docs/EVENTS.md and lib/kernel/events.def differ"; exit 1; }
[ -z "$(cut -d' ' -f1 "$a" | uniq -d)" ] || { echo "an event number stands twice"; exit 1; }
echo "events: ok"
