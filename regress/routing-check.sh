#!/bin/sh
# Tests how daisycheck in the folder $1 treats files that are no configuration: the exit status,
# and one line that names the file, the place and the reason.
set -u
bin=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir" || exit 1
failed=0

expect() { # STATUS LINE ARGUMENT...: daisycheck must end so and print this line, or nothing
	status=$1 line=$2
	shift 2
	out=$("$bin/daisycheck" "$@" 2>&1)
	actual=$?
	[ $actual -eq "$status" ] || failed=1
	[ "$out" = "$line" ] || failed=1
	[ $actual -eq "$status" ] && [ "$out" = "$line" ] ||
		echo "routing-check: $*: exit status $actual, printed: $out"
}

case $bin in
/*) ;;
*) bin=$OLDPWD/$bin ;;
esac
bad='error: malformed: configuration'
route='{"hostname":"h","path_prefix":"/","kind":"safe","backend":"s"}'
echo '{"version":2,"services":[{"name":"s"}],"routes":['"$route"']}' >good
head -c 30 good >truncated
printf '{"version":2,\n"version":3}' >twice
{ printf '\357\273\277' && cat good; } >mark
: >empty
echo '[]' >list
head -c 17000000 /dev/zero | tr '\0' ' ' >huge
{ printf '[' && head -c 260000 /dev/zero | tr '\0' '[' ; } >brackets

expect 0 '' good
expect 1 "$bad truncated: line 1, column 31: not JSON: unexpected end of data" truncated
expect 1 "$bad twice: line 2: version: the key stands twice" twice
expect 1 "$bad mark: line 1, column 1: a byte order mark, which JSON forbids" mark
expect 1 "$bad empty: not JSON: empty or with a NUL byte" empty
expect 1 "$bad list: not a configuration: version, routes or services are missing" list
expect 1 "$bad brackets: more than 250000 objects and arrays" brackets
expect 2 'daisycheck: huge: longer than 16 MiB' huge
expect 2 'daisycheck: .: Is a directory' .
expect 2 'daisycheck: absent: No such file or directory' absent
expect 1 'error: version: configuration version: 2 is not higher than 2, which is in force' \
	--against good good
expect 1 "$bad twice: line 2: version: the key stands twice" --against twice good
expect 2 'daisycheck: evacuated: not given with --data-center: d' --evacuated d good
expect 2 'daisycheck: data-center: not of the form NAME=REGION: d' --data-center d good
expect 1 "$bad list: not a list of upstreams" --data-center d=r --upstreams list good
expect 0 '{"version":2,"errors":0,"warnings":0,"differences":0,"unlisted":0,"findings":[]}' \
	--json good
expect 2 'daisycheck: usage: daisycheck [OPTION ...] FILE'
exit $failed
