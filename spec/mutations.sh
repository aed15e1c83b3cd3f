#!/bin/sh
# Usage: mutations.sh. Takes one protection out of the lease and order cores at a
# time, on a copy that only the compiler sees (go test -overlay), and requires that
# the walk of this folder fails.
set -u
cd "$(dirname "$0")" || exit 1
root=$(cd .. && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# mutate NAME FILE SED
mutate() {
	file=$root/internal/process/$2
	sed "$3" "$file" >"$work/mutated.go"
	if cmp -s "$file" "$work/mutated.go"; then
		echo "STALE   $1: nothing to change in $2"
		failed=1
		return
	fi
	printf '{"Replace":{"%s":"%s"}}' "$file" "$work/mutated.go" >"$work/overlay.json"
	if go test -count=1 -timeout 120s -overlay "$work/overlay.json" . >"$work/log" 2>&1; then
		echo "MISSED  $1"
		failed=1
	elif grep -q -- '--- FAIL' "$work/log"; then
		echo "caught  $1: $(sed -n 's/.*walk_test.go:[0-9]*: \(.*\) after .*/\1/p' "$work/log" | head -1)"
	else
		echo "BROKEN  $1: $(head -3 "$work/log")"
		failed=1
	fi
}

mutate "no wait for the former holder's orders" order/slot.go 's/return c.granted.At.Add(c.cfg.OrderLife)/return c.granted.At/'
mutate "a slot closed before the fence is raised" order/engine.go 's/if c.adopted \&\& c.fencing \&\& !c.raised {/if false {/; s/^\t\treturn c.raised$/\t\treturn true/'
mutate "a lease taken before its end" authority/core.go 's/return time.Duration(c.seen.lease.TTLMS) \* time.Millisecond/return 0/'
exit $failed
