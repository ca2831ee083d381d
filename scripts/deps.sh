#!/bin/sh
# Installs the build's dependencies where one is missing.
set -eu
pkgs="libev-dev libprotobuf-c-dev protobuf-c-compiler libmicrohttpd-dev \
libcurl4-openssl-dev libglib2.0-dev libjson-c-dev libcunit1-dev libtalloc-dev \
libedit-dev libsodium-dev mandoc clang-format clang-tidy gcc make pkg-config"
missing=
for p in $pkgs; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'install ok installed' ||
		missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -q -y --no-install-recommends $missing
