package place

import "time"

const (
	// firstPerToken is taken for the time to read a token before any was measured: about
	// what the engines of today take. The first few prompts replace it.
	firstPerToken = 8 * time.Microsecond
	// readingMemory is by how much older samples count less with each new one: the last
	// fifty make the estimate.
	readingMemory = 0.98
	// readingSamples is how many samples an estimate needs.
	readingSamples = 8
	// waitedWeight is the weight of a prompt that took longer than expected and may have
	// waited: small, so that the estimate follows the shorter times, and above zero, so
	// that it rises if engines get slower.
	waitedWeight = 0.05
	// outlier is the multiple of the expected time beyond which a sample tells of
	// something else than reading.
	outlier = 4.0
	// speedStep is the weight of the newest sample in the estimate of one engine's speed.
	speedStep = 0.1
	// Bounds of how much slower or faster than others of its role one engine may be taken
	// to be, so that a few odd samples don't take it out of use.
	leastSlowness = 0.5
	mostSlowness  = 3.0
)

// readingModel is how long engines of one role take to read prompts that wait for
// nothing: a fixed time and one for each token, fitted to what was seen.
type readingModel struct {
	n, x, y, xx, xy float64 // weighted sums: samples, tokens, seconds
}

// add learns from a prompt. alone tells that nothing else was known to be there; one
// that may have waited counts little where it took longer than expected.
func (m *readingModel) add(tokens int, took time.Duration, alone bool) {
	x, y, weight := float64(tokens), took.Seconds(), 1.0
	if expected := m.time(tokens).Seconds(); m.n >= readingSamples && y > expected {
		y = min(y, outlier*expected)
		if !alone {
			weight = waitedWeight
		}
	}
	m.n = m.n*readingMemory + weight
	m.x = m.x*readingMemory + weight*x
	m.y = m.y*readingMemory + weight*y
	m.xx = m.xx*readingMemory + weight*x*x
	m.xy = m.xy*readingMemory + weight*x*y
}

// fit gives the fixed time and the time for a token, in seconds.
func (m *readingModel) fit() (fixed, perToken float64) {
	if m.n < readingSamples {
		return 0, firstPerToken.Seconds()
	}
	spread := m.n*m.xx - m.x*m.x
	if spread > 0 {
		perToken = (m.n*m.xy - m.x*m.y) / spread
	}
	fixed = (m.y - perToken*m.x) / m.n
	if perToken <= 0 || fixed < 0 { // prompts of one size, or a few odd ones
		return 0, m.y / max(m.x, 1)
	}
	return fixed, perToken
}

// time is how long a prompt of so many tokens takes.
func (m *readingModel) time(tokens int) time.Duration {
	fixed, perToken := m.fit()
	return time.Duration((fixed + perToken*float64(tokens)) * float64(time.Second))
}

// perToken is the time that a token takes an engine that has more to read.
func (m *readingModel) perToken() time.Duration {
	_, perToken := m.fit()
	return time.Duration(perToken * float64(time.Second))
}

// slowness is how much longer one engine takes than others of its role.
type slowness struct {
	factor float64 // 0: not known
}

func (s *slowness) add(ratio float64) {
	ratio = min(max(ratio, leastSlowness), mostSlowness)
	if s.factor == 0 {
		s.factor = 1
	}
	s.factor += speedStep * (ratio - s.factor)
}

func (s *slowness) value() float64 {
	if s.factor == 0 {
		return 1
	}
	return s.factor
}
