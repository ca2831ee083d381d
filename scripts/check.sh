#!/bin/sh
# Runs every test against the programs in directory $1: unit tests, checks, then scenarios, JOBS
# (default 4) of them at a time, since they mostly wait.  The output of a failed scenario is
# printed.  Tests listed in KNOWN-RED.txt run too; their failures are printed, but do not make
# the run fail.
set -u
bin=$1
jobs=${JOBS:-4}
passed=0
failed=0
known=0
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT

is_known_red() {
	grep -q "^test: $1\$" KNOWN-RED.txt 2>/dev/null
}

verdict() { # NAME STATUS
	if [ "$2" -eq 0 ]; then
		echo "passed: $1"
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
# shellcheck disable=SC2016
ls regress/scenarios/*.scn | xargs -P "$jobs" -I FILE sh -c '
	name=$(basename "$3" .scn)
	"$1/scenario" --bin "$1" "$3" >"$2/$name.log" 2>&1
	echo $? >"$2/$name.status"
	echo "ran: $name"' run "$bin" "$logs" FILE
for f in regress/scenarios/*.scn; do
	name=$(basename "$f" .scn)
	status=$(cat "$logs/$name.status" 2>/dev/null || echo 1)
	[ "$status" -eq 0 ] || cat "$logs/$name.log"
	verdict "$name" "$status"
done
echo "$known known red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
