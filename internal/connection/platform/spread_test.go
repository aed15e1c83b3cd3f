package platform_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
)

// mute loses every answer and notes when each call came.
type mute struct {
	platform.Store
	mu sync.Mutex
	at map[time.Time]int
}

func (m *mute) lose() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at[time.Now()]++
	return platform.ErrUnknown
}

func (m *mute) Update(context.Context, platform.Object) (platform.Object, error) {
	return platform.Object{}, m.lose()
}

func (m *mute) Delete(context.Context, string, string, uint64, string, string) error { return m.lose() }

// TestWritersThatLostAnswersTogetherRetryApart counts calls at the same moment of
// virtual time; only the first ones, which the cut hit, may coincide.
func TestWritersThatLostAnswersTogetherRetryApart(t *testing.T) {
	const writers = 50
	for name, write := range map[string]func(platform.Store) error{
		"write": func(s platform.Store) error {
			_, err := platform.Write(context.Background(), s, platform.Object{Kind: "Route", Name: "r", Version: 1})
			return err
		},
		"delete": func(s platform.Store) error {
			return platform.ResolveDelete(context.Background(), s, "Route", "r", 1, "ada")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				m := &mute{at: map[time.Time]int{}}
				var done sync.WaitGroup
				for range writers {
					done.Go(func() { _ = write(m) })
				}
				done.Wait()
				if m.at[begun] != writers || len(m.at) < 2*writers {
					t.Fatalf("%d first calls, %d moments", m.at[begun], len(m.at))
				}
				for at, calls := range m.at {
					if at != begun && calls > 3 {
						t.Errorf("%d calls in step after %s", calls, at.Sub(begun))
					}
				}
			})
		})
	}
}
