package runner

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// maxSamples is the maximum number of samples kept for delayed reports.
const maxSamples = 512

// rateSmoothing is the weight of the newest step in the moving averages of the rates.
const rateSmoothing = 0.1

// sample is the load at one time.
type sample struct {
	at     time.Time
	report upstream.LoadReport
}

// meter measures token rates as exponential moving averages over steps.
type meter struct {
	prefill, decode float64 // tokens per second
}

func (m *meter) add(s step) {
	seconds := s.duration.Seconds()
	if seconds <= 0 {
		return
	}
	if s.prefillTokens > 0 {
		m.prefill = movingAverage(m.prefill, float64(s.prefillTokens)/seconds)
	}
	if len(s.decode) > 0 {
		m.decode = movingAverage(m.decode, float64(len(s.decode))/seconds)
	}
}

// movingAverage returns the next value of a moving average. An average of 0 has no values yet.
func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + rateSmoothing*(sample-old)
}

// sampleLocked records the current load for delayed reports. If the last sample is recent compared
// to the report lag, its load is replaced instead, so that maxSamples cover the lag. It requires
// r.mu.
func (r *Runner) sampleLocked() {
	now := time.Now()
	lag := r.reportLag()
	if n := len(r.samples); n > 0 && now.Sub(r.samples[n-1].at) <= lag/(maxSamples/4) {
		r.samples[n-1].report = r.loadLocked(now)
		return
	}
	r.samples = append(r.samples, sample{now, r.loadLocked(now)})
	if len(r.samples) > maxSamples {
		r.samples = append(r.samples[:0], r.samples[maxSamples/2:]...)
	}
}

// reportLag returns the age of load reports, including the injected delay.
func (r *Runner) reportLag() time.Duration {
	return r.config.ReportLag + time.Duration(r.faults.ReportDelayMS)*time.Millisecond
}

// loadLocked returns the current load. It requires r.mu.
func (r *Runner) loadLocked(now time.Time) upstream.LoadReport {
	l := upstream.LoadReport{
		Runner: r.config.Name, Incarnation: r.incarnation, At: now,
		QueuedRequests: len(r.waiting), KVTotalTokens: r.config.Cost.KVTokens,
		PrefillRate: r.meter.prefill, DecodeRate: r.meter.decode, Leaving: r.leaving,
	}
	for _, u := range r.waiting {
		l.QueuedPrefill += u.prefillLeft
	}
	for _, u := range r.batch {
		l.QueuedPrefill += u.prefillLeft
		l.KVUsedTokens += u.promptTokens - u.prefillLeft + u.produced
		if u.prefillLeft == 0 {
			l.Running++
		}
	}
	return l
}

// Load returns a load report: the newest sample that is at least as old as the report lag, or the
// oldest sample if all are newer. Without a lag it returns the current load.
func (r *Runner) Load() upstream.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	lag := r.reportLag()
	if lag <= 0 {
		return r.loadLocked(now)
	}
	report := r.samples[0].report
	for _, s := range r.samples {
		if now.Sub(s.at) < lag {
			break
		}
		report = s.report
		// The sample was still valid at that time, as a change of the load makes a new sample.
		report.At = now.Add(-lag)
	}
	report.Age = now.Sub(report.At)
	return report
}
