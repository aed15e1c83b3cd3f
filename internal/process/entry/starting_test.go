package entry

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	store "github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
)

// unreadableWatcher fails each list, or doesn't answer it if it hangs.
type unreadableWatcher struct {
	storeWatcher
	hangs bool
}

// ListStale implements RecordWatcher.
func (w unreadableWatcher) ListStale(ctx context.Context, _ string) ([]store.Object, uint64, error) {
	if w.hangs {
		<-ctx.Done()
	}
	return nil, 0, errors.Wrap(store.ErrUnavailable, "the test's store")
}

// TestInstanceThatCannotReadThePlatformIsNotStarting checks that a process that the platform doesn't answer doesn't say
// that it is starting. Others that still know upstreams would wait for it while they can serve.
func TestInstanceThatCannotReadThePlatformIsNotStarting(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		objects := platform.New(platform.Config{})
		e, s := newPeerTestEntry(t, "i-1", "z1", objects)
		e.cfg.Watcher = unreadableWatcher{storeWatcher{objects}, hangs}
		if !s.isStarting() {
			t.Error("a process that has just started isn't starting")
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		s.readDirectories(ctx)
		cancel()
		s.startedAt = time.Now().Add(-maxUnconfirmedStart)
		if s.isStarting() {
			t.Errorf("a process whose calls fail or, %t, hang is starting", hangs)
		}
	}
}

// TestCandidateWhoseListsFailIsNotStarting checks that a candidate stops saying that it is starting once a list of
// upstreams has failed, and says so again when the platform answers.
func TestCandidateWhoseListsFailIsNotStarting(t *testing.T) {
	e, s := newPeerTestEntry(t, "i-1", "z1", platform.New(platform.Config{}))
	s.startedAt = time.Now().Add(-time.Minute)
	s.following.Store(true)
	if !s.isStarting() {
		t.Error("a candidate that reads the platform isn't starting")
	}
	e.updateFleet(func(_ time.Time, f *fleet.Core) { f.PlatformLost() })
	if s.isStarting() {
		t.Error("a candidate that the platform doesn't answer is starting")
	}
	e.updateFleet(func(now time.Time, f *fleet.Core) { f.PlatformRestored(now) })
	if !s.isStarting() {
		t.Error("a candidate that the platform answers again isn't starting")
	}
}
