#!/bin/sh
# Usage: mutations.sh. Mutation tests of the claim state machines: removes one safety
# check at a time in a copy that only the compiler sees (go test -overlay) and requires
# that the tests of this package fail. Prints which test caught the mutation.
set -u
cd "$(dirname "$0")" || exit 1
here=$(pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# mutate NAME FILE SED: the sed program must change the file.
mutate() {
	name=$1 file=$2 program=$3
	sed "$program" "$file" >"$work/$file"
	if cmp -s "$file" "$work/$file"; then
		echo "STALE   $name: nothing to change in $file"
		failed=1
		return
	fi
	printf '{"Replace":{"%s":"%s"}}' "$here/$file" "$work/$file" >"$work/overlay.json"
	if go test -count=1 -timeout 60s -overlay "$work/overlay.json" . -rapid.nofailfile >"$work/log" 2>&1; then
		echo "MISSED  $name"
		failed=1
	elif grep -q '^--- FAIL' "$work/log"; then
		echo "caught  $name: $(sed -n 's/^--- FAIL: \([A-Za-z]*\).*/\1/p' "$work/log" | sort | tr '\n' ' ')"
	else
		echo "BROKEN  $name: $(head -3 "$work/log")"
		failed=1
	fi
}

mutate "send before the claim" session.go '/return s.startOp(now, peer.ClaimCreate)/c\
		s.claim = peer.ClaimResponse{Runner: e.Runner, Incarnation: e.Incarnation, RunID: s.cfg.RunID, Attempt: 1}\
		s.ownsClaim = true\
		return s.send()'
mutate "guess that a write with a lost answer took effect" keeper.go 's/return k.retryBatch(now, b, true)/return k.writeSucceeded(now, b, e)/'
mutate "guess that a write with a lost answer had no effect" keeper.go 's/p.written = p.written || unknown \&\& p.changes/_ = unknown/'
mutate "forget an operation that got no answer" session.go 's/s.opUnanswered = s.opUnanswered || s.request.Op != peer.ClaimLookup/_ = s.opUnanswered/'
mutate "move a claim after a takeover" apply.go 's/if !exclusive || current.Serial != a.ExpectSerial/if current.RunID != a.RunID/'
mutate "move without comparing the serial" apply.go 's/if !exclusive || current.Serial != a.ExpectSerial/if !exclusive/'
mutate "choose another runner although a send may have run" session.go 's/if !s.ownsClaim || s.maybeSent {$/if !s.ownsClaim {/'
mutate "run again after a restart" session.go '/if e.Restarted {/,/}/c\
		if e.Restarted \&\& s.claim.Runner == s.choice.Runner \&\& s.claim.Incarnation != s.choice.Incarnation {\
			s.claim.Incarnation = s.choice.Incarnation\
			return s.send()\
		}'
mutate "send again to an engine that does not deduplicate" session.go 's/return s.cfg.Traits(a.Runner).Deduplicates \&\& a.Incarnation != ""/return true/'
mutate "report not-run without a read" session.go 's/case s.absent, s.cfg.FirstSend:/default:/'
mutate "report not-run without a release" session.go 's/case s.maybeSent, s.othersMaySend, s.ownsClaim, s.opUnanswered, s.mayBeWritten:/case s.maybeSent, s.othersMaySend, s.opUnanswered, s.mayBeWritten:/'
mutate "answer from a stale copy" keeper.go 's/if b.verifiedSeq > p.arrivedSeq {/if b.known {/'
mutate "send after the window" session.go 's/return s.phase == phaseSending \&\& s.inSendWindow(now)/return s.phase == phaseSending/'
mutate "join a claim about to expire" apply.go 's/return v.Attempt == attemptShared \&\& d.generation-v.Generation <= Generations-joinMargin/return v.Attempt == attemptShared/'
mutate "end a generation at once" keeper.go 's/if now.Sub(b.generationSince) >= k.cfg.Keep\/Generations {/if true {/'
mutate "accept another body" apply.go 's/if current.Body != Hash(a.BodyHash) {/if false {/'
mutate "overwrite a bucket that cannot be read" record.go 's/if err := cbor.Unmarshal(s.CBOR, \&row); err != nil {/if err := cbor.Unmarshal(s.CBOR, \&row); false {\n\t\t_ = err/'
exit $failed
