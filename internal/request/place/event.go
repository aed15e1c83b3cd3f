package place

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
)

// Grant is a place that was granted to a request: the permission to send the request to
// Choice.Upstream. It has the data that Tracker.Apply needs to process the events of the
// place.
type Grant struct {
	Choice     Choice
	Prompt     Prompt
	KVCapacity int // tokens that the KV cache of an engine of the service holds; 0: unknown

	// Target is the longest time that the prompt should wait behind others at the engine. For
	// LocalPrefill it also includes the prefill and the start of the answer. 0: no limit.
	Target time.Duration
}

// localPrefillObjectiveShare is the share of a request's objective within which one engine
// should prefill the prompt and start the answer, including the wait there.
const localPrefillObjectiveShare = 0.4

// localPrefillTarget returns the longest time that the prefill and the start of the answer
// at one engine should take, including the wait there; 0 means no limit.
func (q *Query) localPrefillTarget() time.Duration {
	return time.Duration(localPrefillObjectiveShare * float64(q.Objective))
}

// NewGrant returns the grant of a place chosen for a request.
func NewGrant(q *Query, c Choice) Grant {
	g := Grant{Choice: c, Prompt: q.Prompt, KVCapacity: q.KVCapacity, Target: q.MaxEngineWait()}
	if c.Work == LocalPrefill {
		g.Target = q.localPrefillTarget()
	}
	return g
}

// EventKind is the kind of an event of a granted place.
type EventKind uint8

// The kinds of events.
const (
	Released             EventKind = iota // the request no longer needs the place
	Claimed                               // a reserved place is in use from now on
	Prefilled                             // the engine prefilled the prompt
	PrefilledAndDecoding                  // with LocalPrefill: the engine prefilled the prompt and started the answer
	KVFetched                             // the engine fetched the prompt's KV cache
	Answered                              // the head of an answer arrived
	StreamEvent                           // an event of a streamed answer arrived
	Succeeded                             // the whole answer arrived and is not a failure
	FailedAfterAnswer                     // the request failed after the head of an answer arrived
	FailedUnanswered                      // the request failed before the head of an answer arrived
	Abandoned                             // the process no longer waits for the head of an answer, or sent nothing
	Unresolved                            // the request ended, and it is unknown whether an answer arrived
	Misdirected                           // the address belongs to another upstream, or the upstream doesn't do this work
	LoadReported                          // the upstream reported its load
	LongStreamStarted                     // a request for a long answer is sent; the answer ends in time if its mean event gap is at most Duration
	LongStreamEnded                       // the end of a request of LongStreamStarted
	Rejected                              // the upstream rejected the request; precedes Answered
	KVFetchFailed                         // the engine rejected a request whose KV cache it was to fetch; precedes Answered
)

// Event is an event of a granted place.
type Event struct {
	Kind EventKind

	// Duration depends on the kind:
	//   - Prefilled: the time from sending the prefill to its answer
	//   - PrefilledAndDecoding: the time from sending the request to the first event of the
	//     answer
	//   - StreamEvent: the gap between the previous event and this one; 0 for the first one
	//   - LongStreamStarted and LongStreamEnded: the longest mean event gap with which the
	//     answer still ends in time
	//   - Rejected: the backoff that the upstream requested; 0 if it requested none
	// It is unused for other kinds.
	Duration time.Duration

	// For LoadReported only: the load that the upstream reported with its answer.
	Running         int // requests of all processes that run there
	Waiting         int // requests of all processes that wait there
	Slots           int // 0: not reported
	SlowdownPercent int // how long work takes at that moment, in percent of the usual time; 0: not reported
}

// Apply processes an event of g, the permission to send one request to one upstream. Some
// events change what the upstream still does for the request; then Apply updates g.Choice. For
// example, Claimed turns the work Reserve into Decode.
func (t *Tracker) Apply(now time.Time, g *Grant, e Event) {
	id := g.Choice.Upstream.Incarnation()
	switch e.Kind {
	case Released:
		if g.Choice.Work == Reserve { // never claimed: nothing was sent
			t.refund(&g.Choice)
		}
		t.endTrial(&g.Choice)
		t.Ended(id, g.Choice.Work)
		t.PrefillEnded(id, g.Choice.Tokens)
	case Rejected:
		t.endTrial(&g.Choice)
		t.Rejected(now, id, e.Duration)
		t.RequestRejected(now, id)
	case KVFetchFailed:
		t.RequestRejected(now, id)
	case Claimed:
		t.Ended(id, Reserve)
		g.Choice.Work = Decode
		t.Sent(now, id, Decode)
	case Prefilled:
		t.Prefilled(now, &g.Choice, &g.Prompt, e.Duration, g.Target)
	case PrefilledAndDecoding:
		t.PrefilledAndDecoding(now, &g.Choice, &g.Prompt, e.Duration, g.Target)
		t.PrefillEnded(id, g.Choice.Tokens)
		g.Choice.Tokens = 0 // nothing is left to prefill
	case KVFetched:
		t.Fetched(now, id, &g.Prompt, g.KVCapacity)
	case LoadReported:
		t.LoadReported(now, id, e.Running, e.Waiting, e.Slots)
		t.SlowdownReported(now, id, e.SlowdownPercent)
	case LongStreamStarted:
		t.LongStreamStarted(id, e.Duration)
	case LongStreamEnded:
		t.LongStreamEnded(id, e.Duration)
	case Answered:
		t.trialAccepted(now, &g.Choice)
		t.Responded(now, id, true)
	default:
		t.applyHealth(now, id, e)
	}
}

// applyHealth processes an event that says something about an upstream's health or event gap.
func (t *Tracker) applyHealth(now time.Time, id fleet.Incarnation, e Event) {
	switch e.Kind {
	case StreamEvent:
		t.Responded(now, id, false)
		if e.Duration > 0 {
			t.GapObserved(now, id, e.Duration)
		}
	case Succeeded:
		t.Succeeded(now, id)
	case FailedAfterAnswer:
		t.Failed(now, id, false)
	case FailedUnanswered:
		t.Failed(now, id, true)
	case Abandoned:
		t.Abandoned(now, id)
	case Unresolved:
		t.Unresolved(id)
	case Misdirected:
		t.Misdirected(now, id)
	}
}

// Granted adds a place that a request is about to use to the load of the place's upstream. The
// place was granted by this process or by another one.
func (t *Tracker) Granted(now time.Time, c *Choice) {
	t.Sent(now, c.Upstream.Incarnation(), c.Work)
	t.PrefillStarted(c.Upstream.Incarnation(), c.Tokens)
}

// Source returns the engine with a key as a source to copy shared parts of a prompt from, or
// the zero value if no such engine is known.
func (t *Tracker) Source(key UpstreamKey) Source {
	if u, ok := t.byKey[key]; ok {
		return u.source()
	}
	return Source{}
}

// ByKey returns the upstream with a key. It returns false if no such upstream is known, or if
// it may not get new work.
func (t *Tracker) ByKey(key UpstreamKey) (fleet.Upstream, bool) {
	u, ok := t.byKey[key]
	if !ok || !t.Usable(u.up.Incarnation()) {
		return fleet.Upstream{}, false
	}
	return u.up, true
}
