package retry

import (
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// WindowConfig limits the repeats of the requests of one service in any window of time. A
// repeat is any send of a request after its first. The limit holds for a whole deployment
// although its processes don't coordinate: each process is limited to Ratio times its own
// requests plus its fixed part of the deployment's slack.
//
// A process doesn't know what a process that it replaces sent. In its first window it is
// therefore limited to StartRatio. A window that holds the sends of both never holds more
// repeats than Ratio and StartRatio together allow.
type WindowConfig struct {
	Ratio      float64       // repeats per request
	StartRatio float64       // repeats per request in the first window
	Slack      float64       // repeats that this process may send in addition to the ratio
	Window     time.Duration // length of the window
}

// bucketsPerWindow is the number of intervals of a window for which requests and repeats are
// counted together. Repeats expire up to one interval late and requests up to one interval
// early, so that the limit is never exceeded.
const bucketsPerWindow = 20

// bucket counts the requests and repeats of an interval.
type bucket struct {
	begin, end boottime.Time
	requests   int
	repeats    int
}

// Window allows repeats as a share of the requests in a sliding window. Unlike Budget it
// never allows more than its limit in any window.
//
// A repeat is reserved before it is sent, and counts from then on until a window after its
// arrival: the time between the two has no bound, as a repeat waits for a place, and the
// limit holds for arrivals.
//
// The times are those of the boot-time clock: if the time of day were set forward, repeats
// would be forgotten that still count. A Window is not safe for concurrent use.
type Window struct {
	cfg      WindowConfig
	since    boottime.Time // repeats before are unknown
	buckets  []bucket      // oldest first
	reserved int           // repeats allowed that have neither arrived nor been returned
}

// NewWindow returns an empty window of a process that counts since a time, which is that of its start.
func NewWindow(cfg WindowConfig, since boottime.Time) *Window { return &Window{cfg: cfg, since: since} }

// SetConfig changes the limit. What was counted still counts. If the window becomes longer,
// repeats that would count now were forgotten, so that it begins as that of a new process.
func (w *Window) SetConfig(now boottime.Time, cfg WindowConfig) {
	if cfg.Window > w.cfg.Window {
		w.since = now
	}
	w.cfg = cfg
}

// SetSlack sets this process's part of the slack.
func (w *Window) SetSlack(slack float64) { w.cfg.Slack = slack }

// Request counts the first send of a request.
func (w *Window) Request(now boottime.Time) { w.current(now).requests++ }

// Reserve reserves a repeat if the limit allows it, and reports whether it does. The repeat
// has to be ended by Arrived or Return.
func (w *Window) Reserve(now boottime.Time) bool {
	usage := w.Usage(now)
	if float64(usage.Repeats+usage.Reserved+1) > usage.Limit {
		return false
	}
	w.reserved++
	return true
}

// Arrived counts a reserved repeat that has reached its upstream, at the latest now.
func (w *Window) Arrived(now boottime.Time) {
	w.reserved--
	w.current(now).repeats++
}

// Return returns a reserved repeat that wasn't sent.
func (w *Window) Return() { w.reserved-- }

// WindowUsage is how much of the limit is used in the window that ends now.
type WindowUsage struct {
	Requests int
	Repeats  int     // that have arrived
	Reserved int     // repeats that have not
	Limit    float64 // of Repeats and Reserved together
}

// Usage returns how much of the limit is used now.
func (w *Window) Usage(now boottime.Time) WindowUsage {
	w.forget(now)
	u := WindowUsage{Reserved: w.reserved}
	from := now.Add(-w.cfg.Window)
	for _, b := range w.buckets {
		u.Repeats += b.repeats
		if from.Before(b.begin) {
			u.Requests += b.requests
		}
	}
	u.Limit = w.ratio(now)*float64(u.Requests) + w.cfg.Slack
	return u
}

// ratio returns the repeats per request that are allowed now.
func (w *Window) ratio(now boottime.Time) float64 {
	if now.Sub(w.since) < w.cfg.Window {
		return w.cfg.StartRatio
	}
	return w.cfg.Ratio
}

// forget removes the buckets that have left the window.
func (w *Window) forget(now boottime.Time) {
	from := now.Add(-w.cfg.Window)
	w.buckets = slices.DeleteFunc(w.buckets, func(b bucket) bool { return b.end.Before(from) })
}

// current returns the bucket of now.
func (w *Window) current(now boottime.Time) *bucket {
	if n := len(w.buckets); n == 0 || !now.Before(w.buckets[n-1].end) {
		w.forget(now)
		w.buckets = append(w.buckets, bucket{begin: now, end: now.Add(w.cfg.Window / bucketsPerWindow)})
	}
	return &w.buckets[len(w.buckets)-1]
}
