package retry

import (
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

// windowBuckets is the number of buckets, intervals of equal length, per window. Repeats
// expire up to one bucket late and requests up to one bucket early, so that the limit is
// never exceeded.
const windowBuckets = 20

// Window allows repeats as a share of the requests in a sliding window. Unlike Budget it
// never allows more than its limit in any window. Its times are those of the boot-time clock: if the
// time of day were set forward, repeats would be forgotten that still count. It is not safe for
// concurrent use.
type Window struct {
	cfg      WindowConfig
	since    boottime.Time // repeats before are unknown
	requests [windowBuckets + 1]int
	repeats  [windowBuckets + 1]int
	bucket   int64 // number of the newest bucket, counted from the boot
}

// NewWindow returns an empty window of a process that counts since a time, which is that of its start.
func NewWindow(cfg WindowConfig, since boottime.Time) *Window { return &Window{cfg: cfg, since: since} }

// SetSlack sets this process's part of the slack.
func (w *Window) SetSlack(slack float64) { w.cfg.Slack = slack }

// Request counts the first send of a request.
func (w *Window) Request(now boottime.Time) {
	w.advance(now)
	w.requests[w.slot(w.bucket)]++
}

// Retry counts a further send of a request if the limit allows it, and reports whether it
// does.
func (w *Window) Retry(now boottime.Time) bool {
	if !w.Allows(now) {
		return false
	}
	w.repeats[w.slot(w.bucket)]++
	return true
}

// Allows reports whether the limit allows a further send now, without counting one.
func (w *Window) Allows(now boottime.Time) bool {
	usage := w.Usage(now)
	return float64(usage.Repeats+1) <= usage.Limit
}

// WindowUsage is how much of the limit is used in the window that ends now.
type WindowUsage struct {
	Requests int
	Repeats  int
	Limit    float64 // of Repeats
}

// Usage returns how much of the limit is used now.
func (w *Window) Usage(now boottime.Time) WindowUsage {
	w.advance(now)
	var u WindowUsage
	for i := range w.requests {
		u.Requests += w.requests[i]
		u.Repeats += w.repeats[i]
	}
	u.Requests -= w.requests[w.slot(w.bucket+1)] // the oldest bucket, which may be outside the window already
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

// slot returns the array index of a bucket.
func (w *Window) slot(bucket int64) int { return int(bucket % int64(len(w.requests))) }

// advance moves to the bucket of now and empties the buckets in between.
func (w *Window) advance(now boottime.Time) {
	bucket := int64(now) / int64(w.cfg.Window/windowBuckets)
	if bucket-w.bucket > int64(len(w.requests)) {
		w.requests, w.repeats = [windowBuckets + 1]int{}, [windowBuckets + 1]int{}
		w.bucket = bucket
	}
	for w.bucket < bucket {
		w.bucket++
		w.requests[w.slot(w.bucket)], w.repeats[w.slot(w.bucket)] = 0, 0
	}
}
