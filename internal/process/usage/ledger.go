package usage

import (
	"maps"
	"time"
)

// Source identifies one run of an instance, from its start to its end. An instance that restarts
// counts from zero and is another source.
type Source struct {
	Address     string
	Incarnation uint64 // differs for each run
}

// sourceCounts holds what one source has sent for a window.
type sourceCounts struct {
	counts Counts
	total  int  // greatest Part.Total received
	closed bool // a part with Closed was received, so total is final
}

// complete reports whether the counts of the source are final and all of them have arrived.
func (c *sourceCounts) complete() bool { return c.closed && c.counts.total() == c.total }

// Ledger collects the counts that instances send and adds them up by window. It keeps RetainedWindows
// past windows. It is not safe for concurrent use.
type Ledger struct {
	windows  Windows
	byWindow map[int64]map[Source]*sourceCounts
}

// NewLedger returns an empty Ledger.
func NewLedger(windows Windows) *Ledger {
	return &Ledger{windows: windows, byWindow: make(map[int64]map[Source]*sourceCounts)}
}

// Merge adds a part received from a source to the ledger. Parts may arrive repeatedly and in any order:
// counts only grow, so the greater of two counts of an account is the newer one. A part is ignored
// if its window is too old or lies after the next one.
func (l *Ledger) Merge(now time.Time, from Source, p *Part) {
	current := l.windows.At(now)
	if p.Window < current-RetainedWindows || p.Window > current+1 {
		return // too old to be reported, or from an instance whose clock is far off
	}
	sources, ok := l.byWindow[p.Window]
	if !ok {
		sources = make(map[Source]*sourceCounts)
		l.byWindow[p.Window] = sources
		maps.DeleteFunc(l.byWindow, func(window int64, _ map[Source]*sourceCounts) bool { return window < current-RetainedWindows })
	}
	c, ok := sources[from]
	if !ok {
		c = &sourceCounts{counts: make(Counts)}
		sources[from] = c
	}
	c.closed = c.closed || p.Closed
	c.total = max(c.total, p.Total)
	for _, r := range p.Rows {
		c.counts[r.Account] = max(c.counts[r.Account], r.Count)
	}
}

// Missing returns those of the given instance addresses whose counts of a window are not yet complete.
// An instance that restarted counts as complete once the counts of any one of its runs are.
func (l *Ledger) Missing(window int64, addresses []string) []string {
	complete := make(map[string]bool)
	for source, c := range l.byWindow[window] {
		if c.complete() {
			complete[source.Address] = true
		}
	}
	var out []string
	for _, a := range addresses {
		if !complete[a] {
			out = append(out, a)
		}
	}
	return out
}

// Sources returns the number of sources that have sent counts of a window.
func (l *Ledger) Sources(window int64) int { return len(l.byWindow[window]) }

// Sum returns the counts of a window added up over all sources, including incomplete ones.
func (l *Ledger) Sum(window int64) Counts {
	sum := make(Counts)
	for _, c := range l.byWindow[window] {
		for account, n := range c.counts {
			sum[account] += n
		}
	}
	return sum
}
