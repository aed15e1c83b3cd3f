package usage

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Windows divides wall-clock time into aggregation windows of equal length, numbered from the
// Unix epoch.
type Windows struct{ Length time.Duration }

// At returns the window that contains t.
func (w Windows) At(t time.Time) int64 { return t.UnixNano() / int64(w.Length) }

// End returns the end of a window.
func (w Windows) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(w.Length)) }

const (
	// CloseDelay is how long after the end of a window its counts may still grow. A request to a plain
	// service counts in the window in which it was sent. But it is counted only when its answer
	// begins, because it is not certain before that it was sent.
	CloseDelay = time.Second
	// RetainedWindows is how many windows before the current one are kept.
	RetainedWindows = 8
)

// Counts maps client accounts to their numbers of requests.
type Counts map[string]int

// total returns the sum over all accounts.
func (c Counts) total() int {
	sum := 0
	for _, n := range c {
		sum += n
	}
	return sum
}

// Part is a message with the current counts of one instance for some accounts in a window.
type Part struct {
	_      struct{} `cbor:",toarray"`
	Window int64
	Closed bool  // the counts are final
	Total  int   // sum over all accounts of the window, including those in other parts
	Rows   []Row // at most maxPartRows
}

// Row is the count of one account.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Count   int
}

// Validate returns an error if the part has more than maxPartRows rows, an account name longer than
// maxAccountNameLen, or a negative count or total.
func (p *Part) Validate() error {
	if len(p.Rows) > maxPartRows || p.Total < 0 {
		return errors.Errorf("usage of window %d: %d rows, total %d", p.Window, len(p.Rows), p.Total)
	}
	for _, r := range p.Rows {
		if r.Count < 0 || len(r.Account) > maxAccountNameLen {
			return errors.Errorf("usage of window %d: count %d of an account", p.Window, r.Count)
		}
	}
	return nil
}

// maxAccountNameLen is the maximum length of an account name in a message, in bytes.
const maxAccountNameLen = 256

// maxPartRows is the maximum number of rows in a part. With names of usual length such a part
// fits into one datagram.
const maxPartRows = 50

// Counter counts the requests that begin to run at one instance. It is not safe for concurrent
// use.
type Counter struct {
	windows Windows
	counts  map[int64]Counts
	stopped bool // the instance is stopping, so all windows are closed
}

// NewCounter returns an empty Counter.
func NewCounter(windows Windows) *Counter {
	return &Counter{windows: windows, counts: make(map[int64]Counts)}
}

// RequestStarted counts a request of an account that began to run at the time at, which must not be after now.
// If the window of at is already closed, the request counts in the window of now.
func (c *Counter) RequestStarted(now, at time.Time, account string) {
	window := c.windows.At(at)
	if c.closed(now, window) {
		window = c.windows.At(now)
	}
	counts, ok := c.counts[window]
	if !ok {
		counts = make(Counts)
		c.counts[window] = counts
		c.dropOldWindows(now)
	}
	counts[account]++
}

// End closes all windows because the instance is stopping.
func (c *Counter) End() { c.stopped = true }

// closed reports whether the counts of a window can't grow any more.
func (c *Counter) closed(now time.Time, window int64) bool {
	return c.stopped || !now.Before(c.windows.End(window).Add(CloseDelay))
}

// dropOldWindows removes the counts of windows that are more than RetainedWindows before the current one.
func (c *Counter) dropOldWindows(now time.Time) {
	oldest := c.windows.At(now) - RetainedWindows
	maps.DeleteFunc(c.counts, func(window int64, _ Counts) bool { return window < oldest })
}

// Parts returns the counts of a window as parts of at most maxPartRows accounts. It returns at least
// one part, since receivers must also learn that a window without requests is closed.
func (c *Counter) Parts(now time.Time, window int64) []Part {
	counts := c.counts[window]
	part := Part{Window: window, Closed: c.closed(now, window), Total: counts.total()}
	var out []Part
	for accounts := range slices.Chunk(slices.Sorted(maps.Keys(counts)), maxPartRows) {
		p := part
		for _, account := range accounts {
			p.Rows = append(p.Rows, Row{Account: account, Count: counts[account]})
		}
		out = append(out, p)
	}
	if len(out) == 0 {
		out = []Part{part}
	}
	return out
}
