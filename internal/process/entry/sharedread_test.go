package entry

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestSharedReadsServeAllWhoCameBefore checks, for reads that take up to seconds and requests that come at any time, that
// each gets the result of a read that began after it had come; that no request waits for more than the time until the next
// read begins and the read itself, however long earlier reads take; and that reads begin no more often than they may.
func TestSharedReadsServeAllWhoCameBefore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gap := time.Duration(rapid.SampledFrom([]int{0, 250}).Draw(rt, "gap")) * time.Millisecond
		takes := rapid.SliceOfN(rapid.IntRange(0, 1500), 1, 8).Draw(rt, "reads take ms")
		comes := rapid.SliceOfN(rapid.IntRange(0, 400), 1, 30).Draw(rt, "requests come after ms")
		synctest.Test(t, func(*testing.T) {
			var mu sync.Mutex
			var begins []time.Time
			s := newSharedReads(gap, func(context.Context) (time.Time, error) {
				mu.Lock()
				begins = append(begins, time.Now())
				took := time.Duration(takes[len(begins)%len(takes)]) * time.Millisecond
				mu.Unlock()
				began := time.Now()
				time.Sleep(took)
				return began, nil
			})
			var all sync.WaitGroup
			for _, ms := range comes {
				time.Sleep(time.Duration(ms) * time.Millisecond)
				came, read := time.Now(), s.join()
				all.Go(func() {
					began, err := read.await(context.Background())
					if err != nil || began.Before(came) {
						rt.Errorf("came %v after the read began, error %v", came.Sub(began), err)
					}
					if wait := began.Sub(came); wait > sharedReadOverlap {
						rt.Errorf("the read began %v later", wait)
					}
				})
			}
			all.Wait()
			for i := 1; i < len(begins); i++ {
				if d := begins[i].Sub(begins[i-1]); d < gap {
					rt.Errorf("two reads began within %v", d)
				}
			}
			if len(begins) > len(comes) {
				rt.Errorf("%d reads for %d requests", len(begins), len(comes))
			}
		})
	})
}

// TestReadGoesOnWithoutItsRequest guards against a slow read that is given up with the request that wanted it, so that no
// request ever gets its result.
func TestReadGoesOnWithoutItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSharedReads(time.Minute, func(ctx context.Context) (int, error) {
			select {
			case <-time.After(time.Second):
				return 7, nil
			case <-ctx.Done():
				return 0, ctx.Err()
			}
		})
		read := s.join()
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		if _, err := read.await(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v of a request that has ended", err)
		}
		if n, err := read.await(context.Background()); n != 7 || err != nil {
			t.Errorf("%d, %v", n, err)
		}
	})
}
