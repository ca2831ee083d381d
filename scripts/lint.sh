#!/bin/sh
# Static checks: clang-tidy over the sources, mandoc over the manual pages.
set -eu
pkgs="libprotobuf-c libmicrohttpd libcurl glib-2.0 json-c talloc libedit libsodium zlib"
# shellcheck disable=SC2046,SC2086
git ls-files -co --exclude-standard '*.c' | grep -v '\.pb-c\.' |
	xargs -P "$(nproc)" -n 4 sh -c 'clang-tidy --quiet "$@" -- -std=gnu11 -D_GNU_SOURCE \
	-DG_LOG_USE_STRUCTURED -Ilib -Iplatform '"$(pkg-config --cflags $pkgs | tr '\n' ' ')"' 2>/dev/null' tidy
for m in $(git ls-files -co --exclude-standard 'daisy*/*.[158]'); do
	mandoc -T lint -W warning "$m"
done
echo "lint: ok"
