package platform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Backoff is exponential backoff with full jitter: the delay before attempt n is
// uniform between zero and min(Max, Base*2^n), so that clients that failed
// together do not come back together.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// DefaultBackoff fits a platform that answers in milliseconds and has outages.
var DefaultBackoff = Backoff{Base: 50 * time.Millisecond, Max: 5 * time.Second}

// Ceiling is the longest delay before retry number attempt, counted from zero.
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

// Delay is the delay before retry number attempt for a uniform draw in [0,1).
func (b Backoff) Delay(attempt int, draw float64) time.Duration {
	return time.Duration(draw * float64(b.Ceiling(attempt)))
}

// Wait sleeps a random delay before retry number attempt, or until ctx ends.
func (b Backoff) Wait(ctx context.Context, attempt int) error {
	return Sleep(ctx, b.Delay(attempt, rand.Float64()))
}

// jitter is a seeded source of uniform draws for many goroutines.
type jitter struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newJitter(seed uint64) *jitter {
	return &jitter{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

func (j *jitter) draw() float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rng.Float64()
}

// Sleep waits for d or until ctx ends.
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
