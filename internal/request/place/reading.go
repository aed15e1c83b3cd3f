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
	per := took / time.Duration(max(tokens, minOwnTokens))
	if r.perToken == 0 {
		r.perToken = per
		return
	}
	step := perRequestUp
	if per < r.perToken {
		step = perRequestDown
	}
	r.perToken += time.Duration(step * float64(per-r.perToken))
}

// time is how long a prompt with so many tokens of its own takes; zero: not known yet.
func (r *readingPace) time(tokens int) time.Duration {
	return r.perToken * time.Duration(tokens)
}
