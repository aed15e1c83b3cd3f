package admit

import (
	"math"
	"time"
)

// throughputHalfLife is the half-life of the measured admission rate.
const throughputHalfLife = 2 * time.Second

// throughput measures the admission rate of this gateway. Since the gateways share the
// runners, load from other gateways lowers the measured rate.
type throughput struct {
	count float64   // admissions, decayed exponentially
	span  float64   // measured time in seconds, decayed in the same way; count/span is the rate
	at    time.Time // of the last decay
}

// decay applies the decay of the time since the last call to the count and the span, and
// adds that time to the span.
func (t *throughput) decay(now time.Time) {
	if t.at.IsZero() {
		t.at = now
		return
	}
	elapsed := now.Sub(t.at).Seconds()
	if elapsed <= 0 {
		return
	}
	f := math.Exp2(-elapsed / throughputHalfLife.Seconds())
	t.count *= f
	t.span = t.span*f + elapsed*(1+f)/2
	t.at = now
}

// recordAdmission counts an admission.
func (t *throughput) recordAdmission(now time.Time) {
	t.decay(now)
	t.count++
}

// wait returns the predicted time until the given number of requests ahead are admitted,
// at most one hour. It is zero if there are none, or if no admission was measured yet.
func (t *throughput) wait(now time.Time, ahead int) time.Duration {
	t.decay(now)
	if ahead == 0 || t.count <= 0 || t.span <= 0 {
		return 0
	}
	const maxWait = 3600 // seconds
	return time.Duration(min(float64(ahead)*t.span/t.count, maxWait) * float64(time.Second))
}
