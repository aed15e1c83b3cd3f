package place

import "time"

// readingPace is how long an engine takes to read a token of a prompt, the requests
// before it aside. With it, the time that a long prompt takes by itself is told from
// the time for which it waited behind others.
type readingPace struct {
	perToken time.Duration
}

// add learns from a prompt with so many tokens of its own.
func (r *readingPace) add(took time.Duration, tokens int) {
	lean(&r.perToken, took/time.Duration(max(tokens, minOwnTokens)))
}

// time is how long a prompt with so many tokens of its own takes; zero: not known yet.
func (r *readingPace) time(tokens int) time.Duration {
	return r.perToken * time.Duration(tokens)
}

// Weights of the newest prefill in the estimate of how long one takes an engine.
// At an idle engine the way there and back counts too, while behind others it is
// spread over them, so the estimate leans to the shorter times.
const (
	leanUp   = 0.02
	leanDown = 0.06
)

// lean moves an estimate of how long a prompt takes towards the newest one; zero: none yet.
func lean(estimate *time.Duration, newest time.Duration) {
	if *estimate == 0 {
		*estimate = newest
		return
	}
	step := leanUp
	if newest < *estimate {
		step = leanDown
	}
	*estimate += time.Duration(step * float64(newest-*estimate))
}
