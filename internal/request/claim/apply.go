package claim

import (
	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// apply executes a claim operation on the draft and reports whether the draft
// changed. It is idempotent: an operation that has already taken effect is
// recognized by its run id and granted again, whichever keeper has written the
// bucket since. If the answer to a write is lost, its operations can therefore be
// retried. The nonce of the bucket object would not show whether the lost write took
// effect, since the next writer replaces it.
func (d *draft) apply(a peer.ClaimRequest) (answer peer.ClaimResponse, changed bool) {
	current, ok := d.get(Key(a.KeyHash))
	if !ok {
		return d.applyAbsent(a)
	}
	if current.Body != Hash(a.BodyHash) {
		return peer.ClaimResponse{Kind: string(errkind.KeyReused)}, false
	}
	switch a.Op {
	case peer.ClaimCreate:
		return answerOf(current, current.RunID == a.RunID && current.Attempt == attemptExclusive || d.joinable(current)), false
	case peer.ClaimTakeover:
		return d.takeover(current, a)
	case peer.ClaimMove:
		return d.move(current, a)
	case peer.ClaimRelease:
		return d.release(current, a)
	}
	return answerOf(current, false), false
}

// applyAbsent executes an operation on a key without a claim. A create adds an exclusive
// claim. A release is granted, since there is nothing to release. All other operations
// are answered with Absent.
func (d *draft) applyAbsent(a peer.ClaimRequest) (peer.ClaimResponse, bool) {
	switch a.Op {
	case peer.ClaimCreate:
		v := Claim{
			Key:         Key(a.KeyHash),
			Body:        Hash(a.BodyHash),
			RunID:       a.RunID,
			Holder:      a.Holder,
			Runner:      a.Runner,
			Incarnation: a.Incarnation,
			Attempt:     attemptExclusive,
			Serial:      1,
			Generation:  d.generation,
		}
		d.set(v)
		return answerOf(v, true), true
	case peer.ClaimRelease:
		return peer.ClaimResponse{Granted: true, Absent: true}, false
	}
	return peer.ClaimResponse{Absent: true}, false
}

// takeover makes an exclusive claim shared and records the requesting gateway as its
// holder. A claim that is already shared does not change, and is granted if it is
// joinable.
func (d *draft) takeover(current Claim, a peer.ClaimRequest) (peer.ClaimResponse, bool) {
	if current.Attempt == attemptShared {
		return answerOf(current, d.joinable(current)), false
	}
	current.Attempt = attemptShared
	current.Holder = a.Holder
	return answerOf(d.update(current), true), true
}

// move assigns the claim to another runner if its serial is still the one that the
// holder saw. A delayed duplicate of an earlier move finds a newer serial and
// changes nothing.
func (d *draft) move(current Claim, a peer.ClaimRequest) (peer.ClaimResponse, bool) {
	exclusive := current.RunID == a.RunID && current.Attempt == attemptExclusive
	alreadyMoved := current.Serial == a.ExpectSerial+1 && current.Runner == a.Runner && current.Incarnation == a.Incarnation
	if exclusive && alreadyMoved {
		return answerOf(current, true), false
	}
	if !exclusive || current.Serial != a.ExpectSerial {
		return answerOf(current, false), false
	}
	current.Runner = a.Runner
	current.Incarnation = a.Incarnation
	return answerOf(d.update(current), true), true
}

// release removes the claim if it is the requesting session's and still exclusive.
func (d *draft) release(current Claim, a peer.ClaimRequest) (peer.ClaimResponse, bool) {
	if current.RunID != a.RunID || current.Attempt != attemptExclusive {
		return answerOf(current, false), false
	}
	d.remove(current.Key)
	return peer.ClaimResponse{Granted: true, Absent: true}, true
}

// update puts a changed claim into the draft with the next serial and the current
// generation. So the time for which the claim is kept starts again.
func (d *draft) update(v Claim) Claim {
	v.Serial++
	v.Generation = d.generation
	d.set(v)
	return v
}

// joinable reports whether another caller may be granted the shared claim v without a
// write, and may then send the claim's run again. It may only if the claim will still be
// kept for at least one generation interval (see Generations) after that send.
func (d *draft) joinable(v Claim) bool {
	return v.Attempt == attemptShared && d.generation-v.Generation <= Generations-joinMargin
}

// joinMargin is how many generations a shared claim must have left to be granted
// without a write. The keeper grants it from the copy of the bucket in its memory, which
// may be up to one generation interval old. During that interval and the send window after
// it, other keepers can end at most three generations, so at least one generation remains
// after the send.
const joinMargin = 4

// answerOf returns the answer that describes claim v.
func answerOf(v Claim, granted bool) peer.ClaimResponse {
	return peer.ClaimResponse{
		Granted:     granted,
		BodyHash:    v.Body[:],
		Holder:      v.Holder,
		Attempt:     v.Attempt,
		Serial:      v.Serial,
		Runner:      v.Runner,
		Incarnation: v.Incarnation,
		RunID:       v.RunID,
	}
}
