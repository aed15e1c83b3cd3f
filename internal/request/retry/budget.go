package retry

import "time"

// Limits of the budget.
const (
	budgetHalfLife = 10 * time.Second // half-life of the counts
	budgetFloor    = 3.0              // retries allowed in addition to the share of requests
)

// Budget is a retry budget: it allows retries as a share of recent requests, so that
// retries don't make an outage worse. It is not safe for concurrent use.
type Budget struct {
	share    float64   // retries allowed per request
	requests float64   // decaying count of requests
	retries  float64   // decaying count of retries
	at       time.Time // of the last decay
}

// NewBudget returns a budget that allows retries up to the given share of requests; zero
// or less allows none.
func NewBudget(share float64) *Budget { return &Budget{share: max(share, 0)} }

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.decay(now)
	b.requests++
}

// Allows reports whether the budget allows a retry now, without counting one.
func (b *Budget) Allows(now time.Time) bool {
	b.decay(now)
	return b.share > 0 && b.retries+1 <= budgetFloor+b.share*b.requests
}

// Retry counts a retry if the budget allows it, and reports whether it does.
func (b *Budget) Retry(now time.Time) bool {
	if !b.Allows(now) {
		return false
	}
	b.retries++
	return true
}
