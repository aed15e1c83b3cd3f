package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
)

// Watch implements platform.Store. The watch returns a bookmark when it has first returned all
// events, and after that whenever Next has waited for an event for Config.BookmarkInterval.
func (s *Store) Watch(ctx context.Context, kinds []string, from uint64) (platform.Watch, error) {
	if err := s.admitRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.history.covers(from) || from > s.version {
		return nil, errors.Wrapf(platform.ErrHistoryGone, "version %d", from)
	}
	s.stats.WatchesMade++
	s.stats.WatchesOpen++
	return &watch{
		store:        s,
		ctx:          ctx,
		kinds:        slices.Clone(kinds),
		position:     from,
		cuts:         s.watchCuts,
		closed:       make(chan struct{}),
		chargedUntil: time.Now(),
	}, nil
}

// watch is one open watch. Next must not be called concurrently.
type watch struct {
	store        *Store
	ctx          context.Context
	kinds        []string
	position     uint64 // all matching events up to this version were returned
	bookmarkSent bool   // at least one bookmark was sent
	cuts         uint64 // the store's watchCuts when the watch was opened
	closed       chan struct{}
	once         sync.Once
	chargedUntil time.Time // the time that the watch was open up to here was counted as reads
}

// Next implements platform.Watch.
func (w *watch) Next(ctx context.Context) (platform.Event, error) {
	timer := time.NewTimer(w.store.cfg.BookmarkInterval)
	defer timer.Stop()
	for {
		e, ok, changed, err := w.poll()
		if err != nil || ok {
			return e, err
		}
		hanging := w.store.CurrentFault().Hang
		if !w.bookmarkSent && !hanging {
			return w.bookmark(), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			timer.Reset(w.store.cfg.BookmarkInterval)
			w.chargeRate()
			if !hanging {
				return w.bookmark(), nil
			}
		case <-ctx.Done():
			return platform.Event{}, ctx.Err()
		case <-w.ctx.Done():
			return platform.Event{}, w.ctx.Err()
		case <-w.closed:
			return platform.Event{}, errors.Wrap(platform.ErrUnavailable, "watch closed")
		}
	}
}

// poll returns the next matching event and true. If there is none, or calls hang, it returns false
// and a channel that is closed at the next change. It fails if the watch was cut or its events
// are no longer kept.
func (w *watch) poll() (platform.Event, bool, <-chan struct{}, error) {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	if w.cuts != w.store.watchCuts {
		return platform.Event{}, false, nil, errors.Wrap(platform.ErrUnavailable, "watch cut")
	}
	if w.store.fault.Hang {
		return platform.Event{}, false, w.store.changed, nil
	}
	if !w.store.history.covers(w.position) {
		return platform.Event{}, false, nil, errors.Wrapf(platform.ErrHistoryGone, "version %d", w.position)
	}
	for _, e := range w.store.history.after(w.position) {
		w.position = e.Object.Version
		if len(w.kinds) == 0 || slices.Contains(w.kinds, e.Object.Kind) {
			return e, true, nil, nil
		}
	}
	return platform.Event{}, false, w.store.changed, nil
}

// bookmark returns a bookmark with the position of the watch.
func (w *watch) bookmark() platform.Event {
	w.bookmarkSent = true
	return platform.Event{Type: platform.Bookmark, Object: platform.Object{Version: w.position}}
}

// chargeRate counts one read against the rate limit for each second that the watch has been open
// and that was not counted before.
func (w *watch) chargeRate() {
	for time.Since(w.chargedUntil) >= time.Second {
		w.chargedUntil = w.chargedUntil.Add(time.Second)
		w.store.reads.Reserve()
	}
}

// Close implements platform.Watch.
func (w *watch) Close() {
	w.once.Do(func() {
		close(w.closed)
		w.store.mu.Lock()
		w.store.stats.WatchesOpen--
		w.store.mu.Unlock()
	})
}
