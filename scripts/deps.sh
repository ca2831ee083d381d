#!/bin/sh
# Installs the packages listed in packages.txt if any of them is missing.
set -eu
cd "$(dirname "$0")"
missing=
while read -r p; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'install ok installed' ||
		missing="$missing $p"
done <packages.txt
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -q -y --no-install-recommends $missing
