package place

import "time"

const (
	// initialTimePerToken is the prefill time per token that is assumed as long as there are
	// fewer than minSamples: about that of current engines.
	initialTimePerToken = 8 * time.Microsecond
	// sampleDecay is the factor by which each new sample reduces the weight of the older
	// samples. With it, about the last fifty samples determine the estimate.
	sampleDecay = 0.98
	// minSamples is the number of samples that an estimate needs.
	minSamples = 8
	// delayedSampleWeight is the weight of a sample that is longer than expected, of a prompt
	// that may have waited. It is small, so that the estimate follows the shorter times, and
	// above zero, so that the estimate rises if engines get slower.
	delayedSampleWeight = 0.05
	// outlierFactor is the multiple of the expected time to which longer samples are reduced,
	// since they include something other than the prefill.
	outlierFactor = 4.0
	// slownessWeight is the weight of the newest sample in the slowness of an engine.
	slownessWeight = 0.1
	// Bounds of the slowness of an engine, so that a few outliers don't take it out of
	// use.
	minSlowness = 0.5
	maxSlowness = 3.0
)

// prefillModel estimates how long engines of one role take to prefill a prompt, without the
// time that the prompt waits: a fixed time and a time per token, by weighted linear
// regression.
type prefillModel struct {
	n, x, y, xx, xy float64 // weighted sums over samples; x in tokens, y in seconds
}

// add adds a sample. alone is true if no other request is assumed to have been at the engine.
// Otherwise the prompt may have waited, and counts little if it took longer than expected.
func (m *prefillModel) add(tokens int, elapsed time.Duration, alone bool) {
	x, y, weight := float64(tokens), elapsed.Seconds(), 1.0
	if expected := m.duration(tokens).Seconds(); m.n >= minSamples && y > expected {
		y = min(y, outlierFactor*expected)
		if !alone {
			weight = delayedSampleWeight
		}
	}
	m.n = m.n*sampleDecay + weight
	m.x = m.x*sampleDecay + weight*x
	m.y = m.y*sampleDecay + weight*y
	m.xx = m.xx*sampleDecay + weight*x*x
	m.xy = m.xy*sampleDecay + weight*x*y
}

// fit returns the fixed time and the time per token, both in seconds.
func (m *prefillModel) fit() (fixed, perToken float64) {
	if m.n < minSamples {
		return 0, initialTimePerToken.Seconds()
	}
	spread := m.n*m.xx - m.x*m.x
	if spread > 0 {
		perToken = (m.n*m.xy - m.x*m.y) / spread
	}
	fixed = (m.y - perToken*m.x) / m.n
	if perToken <= 0 || fixed < 0 { // all prompts have one size, or there are a few outliers
		return 0, m.y / max(m.x, 1)
	}
	return fixed, perToken
}

// duration returns the expected prefill time of a prompt.
func (m *prefillModel) duration(tokens int) time.Duration {
	fixed, perToken := m.fit()
	return time.Duration((fixed + perToken*float64(tokens)) * float64(time.Second))
}

// timePerToken returns the additional time of one more token.
func (m *prefillModel) timePerToken() time.Duration {
	_, perToken := m.fit()
	return time.Duration(perToken * float64(time.Second))
}

// slowness is the ratio of an engine's prefill times to those of its role, as a moving
// average (EWMA).
type slowness struct {
	factor float64 // 0: no sample yet
}

// add adds the ratio of one prefill.
func (s *slowness) add(ratio float64) {
	ratio = min(max(ratio, minSlowness), maxSlowness)
	if s.factor == 0 {
		s.factor = 1
	}
	s.factor += slownessWeight * (ratio - s.factor)
}

// value returns the ratio, which is 1 without a sample.
func (s *slowness) value() float64 {
	if s.factor == 0 {
		return 1
	}
	return s.factor
}
