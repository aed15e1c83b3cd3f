package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Crash is the end of an upstream's process while it had some work in flight.
type Crash struct {
	Content   Content
	Upstream  IncarnationHash // the incarnation that ended
	Sent      time.Time       // when the work was sent there
	At        time.Time       // when the send broke off
	Void      bool            // doesn't count: the work was answered completely since, so it didn't cause the crash
	local     bool            // detected by this process, so its times are exact
	explainer Content         // part of prompts that was held and under way at the same upstream, so that the crash doesn't count; zero: none
	lifted    bool            // doesn't count here: the hold that it led to was removed from the platform
}

// valid reports whether the crash may be due to its work. All instances that know of the same answers and removals agree on
// that.
func (c *Crash) valid() bool { return !c.Void && !c.lifted }

// counts reports whether the crash counts against its work here: it is valid and no held part explains it.
func (c *Crash) counts() bool { return c.valid() && !c.explained() }

// explained reports whether a held part of prompts explains the crash.
func (c *Crash) explained() bool { return c.explainer != Content{} }

// sameEndWindow is the largest difference between the times at which instances notice the same end of
// an upstream. Crashes that are further apart belong to different incarnations with the same name.
const sameEndWindow = time.Second

// sameCrash reports whether both describe the same end of an upstream with the same work in flight. A
// process may restart and end again within sameEndWindow. Two crashes that this process detected itself
// can then be told apart by their exact times: the work of one was sent after the other one.
func (c *Crash) sameCrash(o *Crash) bool {
	if c.Content != o.Content || c.Upstream != o.Upstream || c.At.Sub(o.At).Abs() >= sameEndWindow {
		return false
	}
	return !c.local || !o.local || !c.Sent.After(o.At) && !o.Sent.After(c.At)
}

// merge combines the crash with another instance's report of the same one. Several attempts at the work
// may have been in flight; the latest send is kept because it says most about the cause.
func (c *Crash) merge(o *Crash) {
	c.Void = c.Void || o.Void
	c.lifted = c.lifted || o.lifted
	if o.Sent.After(c.Sent) {
		c.Sent = o.Sent
	}
	if o.At.Before(c.At) {
		c.At = o.At
	}
}

// minCrashInterval is the minimum time between two crashes that count as independent. When a network link
// is cut, every send over it breaks off and every connection is refused within one round trip, as if the
// upstreams had ended. minCrashInterval is longer than a round trip between regions.
const minCrashInterval = 100 * time.Millisecond

// countIndependent returns the number of independent crashes, and sorts the crashes by time. A crash counts if
// it isn't void or lifted, its work was sent after the last counted crash, and it came at least minCrashInterval after
// that one. Upstreams that fail together, as in a power loss, or that are cut off together may all have had the
// same work in flight, because it is requested often or was retried from one to the next. Together these
// crashes count once.
func countIndependent(crashes []Crash) int {
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Or(a.At.Compare(b.At), a.Sent.Compare(b.Sent)) })
	n := 0
	var last time.Time
	for i := range crashes {
		if c := &crashes[i]; c.valid() && c.Sent.After(last) && c.At.Sub(last) >= minCrashInterval {
			n, last = n+1, c.At
		}
	}
	return n
}
