package retry

import "time"

// WindowConfig bounds the repeats of one service over sliding windows of time.
// The bound holds for a whole deployment, and every process keeps to its own part
// of it without asking the others: the ratio of its own requests, and a fixed part
// of the slack.
type WindowConfig struct {
	Ratio  float64       // repeats for each request
	Slack  float64       // repeats of this process that need no request
	Window time.Duration // length of the window
}

// windowBuckets is how finely a window is counted; a request is forgotten up to
// one bucket late, a repeat too, which errs on the safe side for repeats.
const windowBuckets = 20

// Window allows repeats as a share of the requests of a sliding window. Unlike
// Budget it never allows more than its bound in any window. Not safe for
// concurrent use.
type Window struct {
	cfg      WindowConfig
	requests [windowBuckets + 1]int
	repeats  [windowBuckets + 1]int
	bucket   int64 // number of the newest bucket
}

// NewWindow makes a window in which nothing was counted.
func NewWindow(cfg WindowConfig) *Window { return &Window{cfg: cfg} }

// SetSlack sets this process's part of the slack.
func (w *Window) SetSlack(slack float64) { w.cfg.Slack = slack }

// Request counts a first send.
func (w *Window) Request(now time.Time) {
	w.advance(now)
	w.requests[w.slot(w.bucket)]++
}

// Repeat counts a further send of a request if the bound allows it.
func (w *Window) Repeat(now time.Time) bool {
	if !w.Allows(now) {
		return false
	}
	w.repeats[w.slot(w.bucket)]++
	return true
}

// Allows tells whether a further send may go; it counts nothing.
func (w *Window) Allows(now time.Time) bool {
	w.advance(now)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	requests -= w.requests[w.slot(w.bucket+1)] // the oldest may be outside of the window already
	return float64(repeats+1) <= w.cfg.Ratio*float64(requests)+w.cfg.Slack
}

func (w *Window) slot(bucket int64) int { return int(bucket % int64(len(w.requests))) }

// advance empties the buckets that have passed since the last call.
func (w *Window) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.cfg.Window/windowBuckets)
	if bucket-w.bucket > int64(len(w.requests)) {
		w.requests, w.repeats = [windowBuckets + 1]int{}, [windowBuckets + 1]int{}
		w.bucket = bucket
	}
	for w.bucket < bucket {
		w.bucket++
		w.requests[w.slot(w.bucket)], w.repeats[w.slot(w.bucket)] = 0, 0
	}
}
