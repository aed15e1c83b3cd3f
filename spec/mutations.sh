#!/bin/sh
# Usage: mutations.sh. Takes one protection out of the lease, order and usage cores at a
# time, on a copy that only the compiler sees (go test -overlay), and requires that
# the walk of this folder, or the tests of the package that is named, fail.
set -u
cd "$(dirname "$0")" || exit 1
root=$(cd .. && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# mutate NAME FILE SED [PACKAGE]
mutate() {
	file=$root/internal/process/$2
	sed "$3" "$file" >"$work/mutated.go"
	if cmp -s "$file" "$work/mutated.go"; then
		echo "STALE   $1: nothing to change in $2"
		failed=1
		return
	fi
	printf '{"Replace":{"%s":"%s"}}' "$file" "$work/mutated.go" >"$work/overlay.json"
	if go test -count=1 -timeout 120s -overlay "$work/overlay.json" "${4:-.}" >"$work/log" 2>&1; then
		echo "MISSED  $1"
		failed=1
	elif grep -q -- '--- FAIL' "$work/log"; then
		echo "caught  $1: $(sed -n 's/.*_test.go:[0-9]*: \(.*\)/\1/p' "$work/log" | head -1)"
	else
		echo "BROKEN  $1: $(head -3 "$work/log")"
		failed=1
	fi
}

mutate "no wait for the former holder's orders" order/slot.go 's/return c.granted.At.Add(c.cfg.OrderLife)/return c.granted.At/'
mutate "a slot closed before the fence is raised" order/engine.go 's/if c.adopted \&\& c.fencing \&\& !c.raised {/if false {/; s/^\t\treturn c.raised$/\t\treturn true/'
mutate "a lease taken before its end" authority/core.go 's/return time.Duration(c.seen.lease.TTLMS) \* time.Millisecond/return 0/'
usage=../internal/process/usage
mutate "windows of before a return counted anew" usage/reporter.go 's/older := version == 0 || record.Era != r.under.Era/older := version == 0/' $usage
mutate "a new holder that ignores the record" usage/reporter.go 's/range record.Intents {/range record.Intents[:0] {/' $usage
mutate "a report before its record" usage/reporter.go 's/r.pending, r.known = nil, false/r.intents[r.pending.Window] = *r.pending; r.pending, r.known = nil, false/' $usage
authority=../internal/process/authority
mutate "a lease kept through a return" authority/core.go 's/out := c.lose("the platform returned from an older copy")/out := []Action(nil)/' $authority
mutate "a lease of before a return not waited for" authority/core.go 's/return platform.EraOf(c.seen.lease.Epoch) < platform.EraOf(c.seen.version)/return false/' $authority
exit $failed
