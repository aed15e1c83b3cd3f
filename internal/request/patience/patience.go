// Package patience estimates how much of the time until their deadline callers have
// already spent on earlier attempts. A caller that was refused retries with a new request,
// which declares the time left until its deadline. If that is less than a first attempt
// on the route typically declares, the difference is the estimate. A route is a group of
// requests that the configuration treats alike. A sample is the time that one request
// declared.
//
// The package makes no decisions and reads no clock.
package patience

import (
	"slices"
	"time"
)

const (
	// maxSamples is how many of the newest declared times are kept per route. On a busy
	// route they cover some hundred milliseconds.
	maxSamples = 64
	// minSamples is the number of samples that an estimate needs.
	minSamples = 16
	// typicalQuantile is the quantile of the declared times that is used as the time of a
	// typical first attempt. If every caller is refused and retries once, as in a surge, the
	// lower half of the samples are retries. The few highest samples come from callers with
	// unusually long deadlines. A typical first attempt is in between.
	typicalQuantile = 0.75
	// updateInterval is the number of samples between two updates of the typical time.
	updateInterval = 8
)

// Route estimates, for the requests of one route, the time until the deadline that a first
// attempt typically declares. It is not safe for concurrent use.
type Route struct {
	samples     []time.Duration // newest declared times; a ring buffer once it is full
	next        int             // index of the oldest sample of a full buffer
	sinceUpdate int             // samples since typical was updated
	typical     time.Duration   // time that a first attempt typically declares; zero: not known yet
}

// TimeSpent records left, the time until the deadline that a request declares. It returns
// an estimate of the time that the request's caller has spent on earlier attempts, or zero
// if there are fewer than minSamples samples. If left is zero or less, the request declares
// no time: TimeSpent then records nothing and returns zero.
func (r *Route) TimeSpent(left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	r.record(left)
	if len(r.samples) < minSamples {
		return 0
	}
	if r.typical == 0 || r.sinceUpdate >= updateInterval {
		r.typical, r.sinceUpdate = r.quantile(), 0
	}
	return max(r.typical-left, 0)
}

// record stores a sample and overwrites the oldest one if there are maxSamples.
func (r *Route) record(left time.Duration) {
	r.sinceUpdate++
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, left)
		return
	}
	r.samples[r.next] = left
	r.next = (r.next + 1) % maxSamples
}

// quantile returns the quantile typicalQuantile of the samples.
func (r *Route) quantile() time.Duration {
	sorted := slices.Clone(r.samples)
	slices.Sort(sorted)
	return sorted[int(typicalQuantile*float64(len(sorted)-1))]
}
