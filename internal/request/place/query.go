package place

import (
	"cmp"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
)

// Query holds what placement needs to know about a request.
type Query struct {
	ID                string
	Service           string
	Zone              string // availability zone of this process
	Urgency           int    // 0 is the most urgent
	Prompt            Prompt
	Work              Work
	Gap               time.Duration // longest mean event gap with which its long answer still ends in time; 0: any
	Arrived           time.Time
	StartBy           time.Time           // latest start: a place that comes free later is of no use
	Objective         time.Duration       // time until its answer should start; 0: none
	KVCapacity        int                 // tokens that the KV cache of an engine of the service holds; 0: unknown
	Excluded          []fleet.Incarnation // upstreams that must not get the request, since it was tried there
	Late              bool                // its answer can't meet the objective any more, even if it starts now
	AllowLocalPrefill bool                // with Prefill: the request may get a place for LocalPrefill instead
	Deadline          time.Time           // when its caller stops waiting; zero: unknown
	Retry             bool                // its caller was refused before and retries at the suggested time
	Software          string              // continues a stream, at an upstream with this version of software; empty: any upstream

	prefillEnginesLimited bool // with LocalPrefill: some prefill engines have rate limits or are backing off
}

// MaxEngineWait returns the longest time that a prompt should wait behind others at an engine;
// 0 means no limit.
func (q *Query) MaxEngineWait() time.Duration {
	return time.Duration(engineWaitShare * float64(q.Objective))
}

// Continues reports whether the request continues a stream.
func (q *Query) Continues() bool { return q.Software != "" }

// compare orders waiting requests: those that continue a stream first, since fewer upstreams can serve
// them, and they are no more than streams that had a place before. Then by urgency, then requests that
// can still be answered in time before late ones. A late request loses little by waiting, whereas
// starting it first could make another request late for no benefit. The result is negative if q goes
// first.
func (q *Query) compare(other *Query) int {
	if q.Continues() != other.Continues() {
		if q.Continues() {
			return -1
		}
		return 1
	}
	if c := cmp.Compare(q.Urgency, other.Urgency); c != 0 {
		return c
	}
	switch {
	case q.Late == other.Late:
		return 0
	case other.Late:
		return -1
	}
	return 1
}

// Work is the kind of work for which an upstream is needed.
type Work string

// The kinds of work.
const (
	Serve        Work = ""         // a whole request at a plain service
	Prefill      Work = "prefill"  // prefilling a prompt whose KV cache another engine fetches
	Decode       Work = "decode"   // decoding; the prompt is short or prefilled elsewhere
	LocalPrefill Work = "readhere" // prefilling a long prompt and decoding, at a decode engine
	Reserve      Work = "reserve"  // decoding later, while the prompt is being prefilled elsewhere
)

// prefills reports whether the work includes the prefill of a long prompt.
func (w Work) prefills() bool { return w == Prefill || w == LocalPrefill }

// requiredRole returns the role that an engine needs for the work; empty: none.
func (w Work) requiredRole() upstream.Role {
	switch w {
	case Prefill:
		return upstream.RolePrefill
	case Decode, LocalPrefill, Reserve:
		return upstream.RoleDecode
	}
	return ""
}

// Prompt holds what placement needs to know about a prompt.
type Prompt struct {
	Key            uint64 // identifies the parts shared with other requests; 0: there are none
	Parts          []Part // shared parts, in their order in the prompt
	UnsharedTokens int    // number of tokens that are not in shared parts
}

// Part is a shared part of a prompt.
type Part struct {
	Key    PartKey
	Tokens int
}

// partKeys returns the keys of the shared parts.
func (p *Prompt) partKeys() []PartKey {
	out := make([]PartKey, len(p.Parts))
	for i := range p.Parts {
		out[i] = p.Parts[i].Key
	}
	return out
}

// queueName returns the name of the queue of the request. Requests that wait for the same
// upstreams are in the same queue.
func (q *Query) queueName() string {
	work := q.Work
	if work == Reserve {
		work = Decode
	}
	return q.Service + "/" + string(work)
}

// Choice is the result of a pick.
type Choice struct {
	Upstream fleet.Upstream
	Work     Work          // what the upstream was chosen for
	CopyFrom Source        // engine to copy shared parts of the prompt from
	Tokens   int           // prompt tokens to prefill there; 0: none
	Idle     bool          // for a prefill: no other request is assumed to be there
	Load     float64       // estimated requests running or waiting there, of all processes
	Age      time.Duration // age of the upstream's last load report; negative: there is none
	Cost     float64       // see Tracker.Pick

	rateCharged  bool // this process charged the place against the upstream's rate limit
	backoffTrial bool // this process counts the place as in flight in the upstream's slow start
}

// Source is an engine to copy shared parts of a prompt from. The zero value means none.
type Source struct {
	Key     UpstreamKey
	Address string // host:port
}
