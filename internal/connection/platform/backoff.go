package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Backoff is exponential backoff with full jitter: the delay before retry n, counted from
// zero, is drawn uniformly between zero and min(Max, Base*2^n), so that clients that failed
// at the same time do not retry at the same time.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// DefaultBackoff suits a platform that answers within milliseconds and has outages.
var DefaultBackoff = Backoff{Base: 50 * time.Millisecond, Max: 5 * time.Second}

// Ceiling returns the maximum delay before retry number attempt, counted from zero.
func (b Backoff) Ceiling(attempt int) time.Duration {
	ceiling := b.Base
	for range attempt {
		if ceiling >= b.Max/2 {
			return b.Max
		}
		ceiling *= 2
	}
	return min(ceiling, b.Max)
}

// Delay returns the delay before retry number attempt, counted from zero. draw is a random
// number, uniform in [0,1).
func (b Backoff) Delay(attempt int, draw float64) time.Duration {
	return time.Duration(draw * float64(b.Ceiling(attempt)))
}

// Wait sleeps for a random delay before retry number attempt, counted from zero. It returns
// the error of ctx if ctx ends first.
func (b Backoff) Wait(ctx context.Context, attempt int) error {
	return Sleep(ctx, b.Delay(attempt, rand.Float64()))
}

// jitter is a seeded source of random numbers for Backoff.Delay. It is safe for concurrent
// use.
type jitter struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newJitter(seed uint64) *jitter {
	return &jitter{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// draw returns a random number, uniform in [0,1).
func (j *jitter) draw() float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rng.Float64()
}

// Sleep waits for d. It returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
