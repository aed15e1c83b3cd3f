// Package patience estimates for how long callers have been trying. A caller that
// was refused comes back with a new request that declares what is left of its time,
// so a request that declares less than is usual on its route has spent the rest.
//
// It decides nothing and keeps no clock.
package patience

import (
	"slices"
	"time"
)

const (
	// remembered is how many of the newest declarations of a route are kept: some
	// hundred ms of a busy route.
	remembered = 64
	// enough is how many declarations have to be known before anything is concluded.
	enough = 16
	// usualRank is the share of declarations that are at most the usual one. In a surge
	// in which everybody is refused and comes back once, half of the requests are
	// returns, and a route's most patient callers are few: the usual time of a first
	// attempt is between the two.
	usualRank = 0.75
	// judgeEvery is how many declarations pass between two looks at the usual one.
	judgeEvery = 8
)

// Route estimates the time that callers of one route usually have. It is not safe for
// concurrent use.
type Route struct {
	ring  []time.Duration
	next  int
	since int
	usual time.Duration
}

// Spent notes what a request declared to be left, and gives the time that its caller
// has spent before it; zero if that isn't known, or if nothing was declared.
func (r *Route) Spent(left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	r.note(left)
	if len(r.ring) < enough {
		return 0
	}
	if r.usual == 0 || r.since >= judgeEvery {
		r.usual, r.since = r.rank(), 0
	}
	return max(r.usual-left, 0)
}

func (r *Route) note(left time.Duration) {
	r.since++
	if len(r.ring) < remembered {
		r.ring = append(r.ring, left)
		return
	}
	r.ring[r.next] = left
	r.next = (r.next + 1) % remembered
}

// rank is the declaration that the usual share of the others don't exceed.
func (r *Route) rank() time.Duration {
	sorted := slices.Clone(r.ring)
	slices.Sort(sorted)
	return sorted[int(usualRank*float64(len(sorted)-1))]
}
