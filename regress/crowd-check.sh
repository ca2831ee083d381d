#!/bin/sh
# Tests of direct operation with callers that hold the memory of a process, with the
# programs in the folder $1.  Freed memory that a sanitizer keeps would count as held.
ASAN_OPTIONS=${ASAN_OPTIONS:-quarantine_size_mb=1:thread_local_quarantine_size_kb=64} \
	"$1/direct" "$1" crowd
