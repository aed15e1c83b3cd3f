package holds

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// cleanInterval is the minimum time between two scans for expired holds; the maximum is twice as long.
const cleanInterval = time.Minute

// startRemovals starts the removal of the holds on the platform that aren't justified any more because their work was
// answered completely. own is true if this process got that answer or wrote such a hold. Otherwise, another process has
// to remove the hold, and this one does so later if that process didn't.
func (k *Keeper) startRemovals(own bool) {
	var contents []quarantine.Content
	k.withCore(func(c *quarantine.Core) { contents = c.TakeUnwantedRecords() })
	for _, content := range contents {
		delay := time.Duration(0)
		if k.cfg.StoreDelay != nil {
			delay = k.cfg.StoreDelay(own)
		}
		k.cfg.RunInBackground(func() { k.removeUnwanted(k.cfg.Background, content, delay) })
	}
}

// removeUnwanted removes an unjustified hold from the platform after a delay, and retries until there is none, the hold
// ends or ctx ends. Only the first failure is logged. While a write of this process may still take effect whose answer
// was lost, it continues to look for the hold.
func (k *Keeper) removeUnwanted(ctx context.Context, content quarantine.Content, delay time.Duration) {
	logged := false
	for pause := minRetryPause; platform.Sleep(ctx, delay) == nil; pause = min(retryPauseGrowth*pause, maxRetryPause) {
		if _, ok := k.recordToRemove(content); !ok {
			return
		}
		err := k.removeHold(ctx, content)
		if err != nil && !logged {
			logged = true
			logline.Info("hold not removed", "content", content, "error", err, "then", "retried until it succeeds or the hold ends")
		}
		if _, ok := k.recordToRemove(content); !ok {
			return
		}
		delay = pause + rand.N(pause)
	}
}

// recordToRemove reports whether the record of some work has to be removed from the platform, and at which version (0:
// not known).
func (k *Keeper) recordToRemove(content quarantine.Content) (version uint64, ok bool) {
	k.withCore(func(c *quarantine.Core) { version, ok = c.RecordToRemove(time.Now(), content) })
	return version, ok
}

// removeHold tries once to remove a hold from the platform, if the core says that it has to be removed. It removes only
// the version that the core judged, and returns an error if the hold has been written again since.
func (k *Keeper) removeHold(ctx context.Context, content quarantine.Content) error {
	version, ok := k.recordToRemove(content)
	if ok && version == 0 {
		var err error
		if version, ok, err = k.readRecordToRemove(ctx, content); err != nil {
			return err
		}
	}
	if !ok {
		return nil
	}
	err := k.cfg.Store.Delete(ctx, resource.KindHold, content.String(), version, k.cfg.Instance, platform.NewNonce())
	switch {
	case err == nil || errors.Is(err, platform.ErrNotFound):
		logline.Info("hold removed", "content", content, "version", version, "here", err == nil)
		k.withCore(func(c *quarantine.Core) { c.RecordRemoved(time.Now(), content, version) })
		return nil
	case errors.Is(err, platform.ErrConflict):
		k.withCore(func(c *quarantine.Core) { c.RecordChanged(content) })
	}
	return err
}

// readRecordToRemove reads a hold on the platform, and returns its version if it has to be removed. A hold that can't be
// decoded has no effect and is removed. One that is justified is applied.
func (k *Keeper) readRecordToRemove(ctx context.Context, content quarantine.Content) (version uint64, ok bool, err error) {
	requestedAt := time.Now()
	o, err := k.cfg.Store.Get(ctx, resource.KindHold, content.String())
	switch {
	case errors.Is(err, platform.ErrNotFound):
		k.withCore(func(c *quarantine.Core) { c.RecordRemoved(requestedAt, content, 0) })
		return 0, false, nil
	case err != nil && o.Version == 0:
		return 0, false, err
	case err != nil:
		return o.Version, true, nil
	}
	_, hold, err := decodeHold(o)
	if err != nil {
		return o.Version, true, nil
	}
	k.applyHold(content, hold)
	version, ok = k.recordToRemove(content)
	return version, ok && version != 0, nil
}

// DeleteExpired regularly removes expired holds from the platform, until ctx ends. mayClean reports whether this
// instance is the one that has to do it at the moment.
func (k *Keeper) DeleteExpired(ctx context.Context, mayClean func() bool) {
	for platform.Sleep(ctx, cleanInterval+rand.N(cleanInterval)) == nil {
		if !mayClean() {
			continue
		}
		var expired []quarantine.Content
		k.withCore(func(c *quarantine.Core) { expired = c.ExpiredHolds(time.Now()) })
		for _, content := range expired {
			if err := k.removeHold(ctx, content); err != nil {
				logline.Info("hold not removed", "content", content, "error", err, "then", "tried again with the next scan")
			}
		}
	}
}
