#!/bin/sh
# Tests how the daemons in the folder $1 check their settings: they accept the examples of the
# manual pages, and refuse an invalid file with one line that names the file, the key and the
# reason.
set -u
bin=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

fail() {
	echo "settings-check: $*"
	failed=1
}

example() { # PAGE: prints the first literal display of a manual page
	sed -n '/^\.Bd -literal/,/^\.Ed/p' "$1" | grep -v '^\.'
}

refused() { # PROGRAM FILE REASON: the program must refuse the file for this reason
	out=$("$bin/$1" -n -f "$dir/$2" 2>&1)
	status=$?
	[ $status -eq 1 ] || fail "$1 $2: exit status $status"
	[ "$out" = "$1: $dir/$2: $3" ] || fail "$1 $2: printed: $out"
}

for p in daisyentryd daisyslotd; do
	example "$p/$p.json.5" >"$dir/$p.json"
	"$bin/$p" -n -f "$dir/$p.json" || fail "$p: the example of its manual page is refused"
	"$bin/$p" --version >/dev/null || fail "$p --version"
	"$bin/$p" --help >/dev/null || fail "$p --help"
	"$bin/$p" --nonsense >/dev/null 2>&1
	[ $? -eq 2 ] || fail "$p: an unknown option is not a usage error"
	"$bin/$p" -n -f "$dir/absent" >/dev/null 2>&1
	[ $? -eq 1 ] || fail "$p: an absent file"
done

sed 's/"name": "entry-1"/"name": "entry-1", "nmae": 1/' "$dir/daisyentryd.json" >"$dir/unknown"
refused daisyentryd unknown 'nmae: unknown key'
sed 's/"name": "entry-1"/"name": "entry-1", "name": "x"/' "$dir/daisyentryd.json" >"$dir/twice"
refused daisyentryd twice 'name: the key stands twice'
sed 's/10.0.0.1:7100/10.0.0.1/' "$dir/daisyentryd.json" >"$dir/address"
refused daisyentryd address 'listen: must be an address IP:PORT, not "10.0.0.1"'
sed 's/a key of the operators/short/' "$dir/daisyentryd.json" >"$dir/key"
refused daisyentryd key 'operator_key: must have at least 16 bytes'
sed 's/"origin"/"drain_ms": -1, "origin"/' "$dir/daisyslotd.json" >"$dir/range"
refused daisyslotd range 'drain_ms: must be from 0 to 3600000'
sed 's/"weights_listen": "127.0.0.1:7201",//' "$dir/daisyslotd.json" >"$dir/missing"
refused daisyslotd missing 'weights_listen: required for a model engine'
sed '/"download_bytes_per_s"/d; s/"upload_bytes_per_s": 125000000,/"link_shared": true/' \
	"$dir/daisyslotd.json" >"$dir/shared"
refused daisyslotd shared 'link_shared: needs download_bytes_per_s'
printf '{' >"$dir/truncated"
refused daisyslotd truncated 'not JSON: unexpected end of data'
# Direct operation: both programs read the same form of settings.
example daisydirectd/daisyloft-node.json.5 >"$dir/node.json"
"$bin/daisydirectd" -n -f "$dir/node.json" || fail "daisydirectd: the example is refused"
refused daisystaged node.json 'engine and service are required'
sed 's/"listen":.*//' "$dir/node.json" >"$dir/node-listen"
refused daisydirectd node-listen 'listen, ready and directory are required'
sed 's/"store"/"stoer"/' "$dir/node.json" >"$dir/node-unknown"
refused daisydirectd node-unknown 'stoer: unknown key'
sed 's/"retry_ratio": 0.2/"retry_ratio": -1/' "$dir/node.json" >"$dir/node-number"
refused daisydirectd node-number 'retry_ratio: must be a number of 0 or more'

exit $failed
