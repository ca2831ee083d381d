#!/bin/sh
# Runs the soak of direct operation with the programs in the folder $1 and the seeds in
# regress/direct/seeds: two, and each that ever failed.  JOBS (default 4) run at a time, as
# they mostly wait.  A line of the file is "SEED SECONDS", and a comment after "#".
# shellcheck disable=SC2016
sed -n 's/^\([0-9][0-9]* [0-9][0-9]*\).*/\1/p' regress/direct/seeds |
	xargs -P "${JOBS:-4}" -L 1 sh -c '"$0/direct" "$0" "$1" "$2"' "$1"
