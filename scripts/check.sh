#!/bin/sh
# Runs every test against the programs in the folder $1: unit tests, then scenarios.
# Tests listed in KNOWN-RED.txt run too; their failure is printed and passed over.
set -u
bin=$1
passed=0
failed=0
known=0
is_known_red() {
	grep -q "^test: $1\$" KNOWN-RED.txt 2>/dev/null
}
verdict() { # NAME STATUS
	if [ "$2" -eq 0 ]; then
		passed=$((passed + 1))
	elif is_known_red "$1"; then
		echo "known red: $1"
		known=$((known + 1))
	else
		echo "FAILED: $1"
		failed=$((failed + 1))
	fi
}
"$bin/unit"
verdict unit $?
for t in regress/*-check.sh; do
	sh "$t" "$bin"
	verdict "$(basename "$t" .sh)" $?
done
if [ -x "$bin/scenario" ]; then
	for f in regress/scenarios/*.scn; do
		[ -e "$f" ] || continue
		"$bin/scenario" --bin "$bin" "$f"
		verdict "$(basename "$f" .scn)" $?
	done
fi
echo "$known known red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
