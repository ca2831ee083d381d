#!/bin/sh
# Runs every test against the programs in directory $1: unit tests, checks, then scenarios.
# CHECK_JOBS (default 2) checks and JOBS (default 4) scenarios run at a time, since they mostly
# wait; the check of memory runs alone.  The output of a check, and of a failed scenario, is
# printed.  Tests listed in KNOWN-RED.txt run too; their failures are printed, but do not make
# the run fail.
set -u
bin=$1
jobs=${JOBS:-4}
check_jobs=${CHECK_JOBS:-2}
alone=regress/crowd-check.sh
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

# Runs the commands "$2 FILE" for each FILE of standard input, $1 at a time; the output and the
# status of each go into files of $logs.
run_files() { # JOBS COMMAND
	# shellcheck disable=SC2016
	xargs -P "$1" -I FILE sh -c '
	name=$(basename "$3")
	$1 "$3" '"$3"' >"$2/$name.log" 2>&1
	echo $? >"$2/$name.status"
	echo "ran: $name"' run "$2" "$logs" FILE
}

status_of() { # FILE
	cat "$logs/$(basename "$1").status" 2>/dev/null || echo 1
}

"$bin/unit"
verdict unit $?
for t in regress/*-check.sh; do
	[ "$t" = "$alone" ] || echo "$t"
done | run_files "$check_jobs" sh "$bin"
echo "$alone" | run_files 1 sh "$bin"
for t in regress/*-check.sh; do
	cat "$logs/$(basename "$t").log"
	verdict "$(basename "$t" .sh)" "$(status_of "$t")"
done
printf '%s\n' regress/scenarios/*.scn | run_files "$jobs" "$bin/scenario --bin $bin" ""
for f in regress/scenarios/*.scn; do
	status=$(status_of "$f")
	[ "$status" -eq 0 ] || cat "$logs/$(basename "$f").log"
	verdict "$(basename "$f" .scn)" "$status"
done
echo "$known known red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
