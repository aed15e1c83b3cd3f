package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

const (
	// watchWait is how long one call of a watch waits. Each call costs the platform
	// something; a connection that fell silent is found by its keep-alive probes.
	watchWait = 10 * time.Second
	// retryPause is the pause after a call that failed, and retryPauseMost its bound
	// when calls keep failing.
	retryPause     = 100 * time.Millisecond
	retryPauseMost = 800 * time.Millisecond
)

// dependency tells the log once when the platform is lost or regained.
type dependency struct {
	name string
	lost atomic.Bool
}

func (d *dependency) failed(err error) {
	if !d.lost.Swap(true) {
		logline.Info("dependency lost", "dependency", d.name, "error", err)
	}
}

func (d *dependency) worked() {
	if d.lost.Swap(false) {
		logline.Info("dependency regained", "dependency", d.name)
	}
}

// follow keeps up with a feed: list gives the revision to watch from, watch the
// next one. It returns when ctx ends.
func follow(ctx context.Context, d *dependency, list func() (uint64, error), watch func(from uint64) (uint64, error), lost func()) {
	revision, known := uint64(0), false
	pause := retryPause
	for ctx.Err() == nil {
		next, err := step(revision, known, list, watch)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			d.worked()
			revision, known, pause = next, true, retryPause
			continue
		}
		if errors.Is(err, platform.ErrHistoryGone) {
			logline.Info("history gone", "dependency", d.name, "revision", revision)
			known = false
			continue
		}
		d.failed(err)
		lost()
		if sleep(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, retryPauseMost)
	}
}

func step(revision uint64, known bool, list func() (uint64, error), watch func(uint64) (uint64, error)) (uint64, error) {
	if known {
		return watch(revision)
	}
	return list()
}

// followUpstreams keeps the list of upstreams.
func (e *Entry) followUpstreams(ctx context.Context) {
	list := func() (uint64, error) {
		ups, revision, err := e.cfg.Upstreams.List(ctx)
		if err != nil {
			return 0, err
		}
		e.changeFleet(func(now time.Time, f *fleet.Core) {
			f.Back(now)
			f.Replace(now, ups)
			e.state.listed = true
		})
		logline.Info("upstreams listed", "revision", revision, "count", len(ups))
		return revision, nil
	}
	watch := func(from uint64) (uint64, error) {
		put, gone, revision, err := e.cfg.Upstreams.Watch(ctx, from, watchWait)
		if err != nil {
			return 0, err
		}
		e.changeFleet(func(now time.Time, f *fleet.Core) {
			f.Back(now)
			applyUpstreams(now, f, revision, put, gone)
		})
		return revision, nil
	}
	lost := func() { e.changeFleet(func(_ time.Time, f *fleet.Core) { f.Lost() }) }
	follow(ctx, &dependency{name: "platform upstreams"}, list, watch, lost)
}

func (e *Entry) changeFleet(change func(now time.Time, f *fleet.Core)) {
	now := time.Now()
	e.state.changeFleet(now, func(f *fleet.Core) { change(now, f) })
}

// applyUpstreams applies the changes of one watch call.
func applyUpstreams(now time.Time, f *fleet.Core, revision uint64, put []fleet.Upstream, gone []string) {
	for _, u := range put {
		f.Put(now, u)
		logline.Info("upstream changed", "upstream", u.ID, "service", u.Service, "address", u.Address,
			"leaving", u.Leaving, "role", u.Role, "becomes", u.Becomes, "revision", revision)
	}
	for _, id := range gone {
		f.Remove(now, id)
		_, kept := f.Get(id)
		logline.Info("upstream unlisted", "upstream", id, "revision", revision, "kept_for_grace", kept)
	}
}

// followConfig keeps the configuration.
func (e *Entry) followConfig(ctx context.Context) {
	list := func() (uint64, error) {
		c, revision, err := e.cfg.Configs.List(ctx)
		if err != nil {
			return 0, err
		}
		e.installConfig(c, revision)
		return revision, nil
	}
	watch := func(from uint64) (uint64, error) {
		c, revision, err := e.cfg.Configs.Watch(ctx, from, watchWait)
		if err != nil {
			return 0, err
		}
		e.installConfig(c, revision)
		return revision, nil
	}
	follow(ctx, &dependency{name: "platform configuration"}, list, watch, func() {})
}

func (e *Entry) installConfig(c *routing.Config, revision uint64) {
	if c == nil || !e.state.install(c) {
		return
	}
	logline.Info("configuration in force", "version", c.Version, "revision", revision, "routes", len(c.Routes))
}

// sleep waits, or returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
