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

const (
	// minRetryPause and maxRetryPause limit the pause after a failed write or watch, before the random part that is
	// added to it. The write of a hold is retried until the hold is stored or over, because an outage of the platform
	// may last from seconds to hours.
	minRetryPause    = 100 * time.Millisecond
	maxRetryPause    = 2 * time.Second
	retryPauseGrowth = 4 // factor from one pause to the next
	// maxStoredHold is the maximum remaining time of a valid stored hold. It is longer than MaxHold because the clocks
	// of instances differ, and it limits how long other writers can hold work.
	maxStoredHold = 2 * quarantine.MaxHold
)

// carryOut carries out what the core decided: it logs and stores new holds, and removes records that aren't wanted any more.
// own is true if this process found what led to that; otherwise, the one that found it acts first.
func (k *Keeper) carryOut(own bool) {
	k.logSuspensions()
	k.startHolds(own)
	k.startRemovals(own)
}

// logSuspensions logs the holds that aren't in force here any more because a likelier cause of their crashes is held.
func (k *Keeper) logSuspensions() {
	var contents []quarantine.Content
	k.withCore(func(c *quarantine.Core) { contents = c.TakeSuspensions() })
	for _, content := range contents {
		logline.Info("hold suspended", "content", content, "part", k.partName(content), "why", "a likelier cause of its crashes is held here")
	}
}

// startHolds logs new holds, and those that are in force again, and stores them on the platform, so that instances that
// are cut off from the others or start later get them too. own is true if this process detected the last crash.
func (k *Keeper) startHolds(own bool) {
	var contents []quarantine.Content
	k.withCore(func(c *quarantine.Core) { contents = c.TakeNewHolds() })
	for _, content := range contents {
		hold, _, held := k.activeHold(time.Now(), content, nil)
		if !held {
			continue
		}
		_, unstored := k.unstoredHold(content)
		logline.Info("work held", "content", content, "part", k.partName(content), "until", hold.Until.Format(time.RFC3339), "times", hold.Times, "own", own, "stored", !unstored)
		if !unstored {
			continue
		}
		k.holdCount.Inc(1)
		delay := time.Duration(0)
		if k.cfg.StoreDelay != nil {
			delay = k.cfg.StoreDelay(own)
		}
		k.cfg.RunInBackground(func() { k.storeHold(k.cfg.Background, content, delay) })
	}
}

// unstoredHold returns the hold of some work if it is in force and not yet stored on the platform.
func (k *Keeper) unstoredHold(content quarantine.Content) (hold quarantine.Hold, ok bool) {
	k.withCore(func(c *quarantine.Core) { hold, ok = c.UnstoredHold(time.Now(), content) })
	return hold, ok
}

// storeHold stores a hold on the platform after a delay and retries until that succeeds, the hold ends or ctx ends.
// Only the first failure is logged.
func (k *Keeper) storeHold(ctx context.Context, content quarantine.Content, delay time.Duration) {
	logged := false
	for pause := minRetryPause; platform.Sleep(ctx, delay) == nil; pause = min(retryPauseGrowth*pause, maxRetryPause) {
		hold, ok := k.unstoredHold(content)
		if !ok {
			return
		}
		err := k.putHold(ctx, content, hold)
		if err == nil {
			return
		}
		if !logged {
			logged = true
			logline.Info("hold not recorded", "content", content, "error", err, "then", "retried until it succeeds")
		}
		delay = pause + rand.N(pause) // jitter: instances that failed together don't retry together
	}
}

// putHold stores a hold unless one in force is already stored for the work, and applies the one that is stored then.
// If the work was answered completely since the hold was read from the core, that starts the removal of the record.
func (k *Keeper) putHold(ctx context.Context, content quarantine.Content, hold quarantine.Hold) error {
	o, err := encodeHold(content, hold)
	if err != nil {
		return err
	}
	o.Writer, o.Nonce = k.cfg.Instance, platform.NewNonce()
	stored, err := k.cfg.Store.Create(ctx, o)
	if errors.Is(err, platform.ErrConflict) {
		return k.replaceHold(ctx, content, hold, o)
	}
	return k.holdWritten(content, hold, stored, err)
}

// replaceHold overwrites a stored hold that has ended, can't be decoded, or isn't justified any more. It keeps and
// applies any other.
func (k *Keeper) replaceHold(ctx context.Context, content quarantine.Content, hold quarantine.Hold, o platform.Object) error {
	old, err := k.cfg.Store.Get(ctx, resource.KindHold, o.Name)
	if err != nil && old.Version == 0 {
		return err
	}
	if err == nil {
		if _, stored, err := decodeHold(old); err == nil && stored.Until.After(time.Now()) {
			k.applyHold(content, stored)
			k.carryOut(false)
			if _, ok := k.unstoredHold(content); !ok {
				return nil
			}
		}
	}
	o.Version, o.UID = old.Version, old.UID
	updated, err := k.cfg.Store.Update(ctx, o)
	return k.holdWritten(content, hold, updated, err)
}

// holdWritten handles the result of a write of a hold, and returns its error.
func (k *Keeper) holdWritten(content quarantine.Content, hold quarantine.Hold, stored platform.Object, err error) error {
	switch {
	case err == nil:
		hold.Version = stored.Version
		k.applyHold(content, hold)
		k.carryOut(true)
	case errors.Is(err, platform.ErrOutcomeUnknown):
		k.withCore(func(c *quarantine.Core) { c.WriteUnknown(time.Now(), content, hold) })
		k.startRemovals(true)
	}
	return err
}

// encodeHold encodes a hold for the platform.
func encodeHold(content quarantine.Content, hold quarantine.Hold) (platform.Object, error) {
	spec := resource.Hold{UntilMS: hold.Until.UnixMilli(), Times: hold.Times}
	for i := range hold.Crashes {
		c := &hold.Crashes[i]
		spec.Crashes = append(spec.Crashes, resource.HoldCrash{Upstream: uint32(c.Upstream), SentUS: c.Sent.UnixMicro(), AtUS: c.At.UnixMicro()})
	}
	return resource.Encode(resource.KindHold, content.String(), spec)
}

// decodeHold decodes a stored hold. It returns an error if the object is unreadable, or if its Times is below 1 or its
// end is further away than maxStoredHold.
func decodeHold(o platform.Object) (quarantine.Content, quarantine.Hold, error) {
	content, err := quarantine.ParseContent(o.Name)
	if err != nil {
		return content, quarantine.Hold{}, err
	}
	spec, err := resource.Decode[resource.Hold](o)
	hold := quarantine.Hold{Until: time.UnixMilli(spec.UntilMS), Times: spec.Times, Version: o.Version}
	for _, c := range spec.Crashes {
		hold.Crashes = append(hold.Crashes, quarantine.Crash{
			Content: content, Upstream: quarantine.IncarnationHash(c.Upstream), Sent: time.UnixMicro(c.SentUS), At: time.UnixMicro(c.AtUS),
		})
	}
	if err == nil && (spec.Times < 1 || time.Until(hold.Until) > maxStoredHold) {
		err = errors.Errorf("hold %s: times %d, untilMS %d", o.Name, spec.Times, spec.UntilMS)
	}
	return content, hold, err
}

// applyHold applies a hold that is stored on the platform, unless the core knows that it isn't justified any more.
func (k *Keeper) applyHold(content quarantine.Content, hold quarantine.Hold) {
	isNew := false
	k.withCore(func(c *quarantine.Core) { isNew = c.HoldStored(time.Now(), content, hold) })
	if isNew {
		logline.Info("work held", "content", content, "until", hold.Until.Format(time.RFC3339), "times", hold.Times, "why", "it is stored on the platform")
	}
}

// Replace applies the complete list of holds on the platform at a version, read just now.
func (k *Keeper) Replace(version uint64, objects []platform.Object) {
	k.ApplyList(time.Now(), version, objects)
}

// ApplyList applies the complete list of holds on the platform at a version, read at the given time or later. It lifts
// holds that are not on the list, except in two cases: a hold that was stored or seen after the given time may be
// missing from the list and stays in force; and if the list is the first one after the platform was restored from an
// older copy, missing holds stay in force and are stored again.
func (k *Keeper) ApplyList(at time.Time, version uint64, objects []platform.Object) {
	var lost []quarantine.Content
	if era := platform.EraOf(version); version != 0 && k.eraChanged(era) {
		k.withCore(func(c *quarantine.Core) { lost = c.MarkUnstored(time.Now()) })
	}
	listed := make(map[string]bool, len(objects))
	for i := range objects {
		listed[objects[i].Name] = true
		k.applyObject(&objects[i])
	}
	var stored []quarantine.Content
	k.withCore(func(c *quarantine.Core) { stored = c.StoredHolds(at) })
	for _, content := range stored {
		if !listed[content.String()] {
			k.liftHold(content)
		}
	}
	// Not before the lists are compared: a hold that was stored again by then would be lifted, since it is missing from
	// the list.
	k.storeAgain(lost)
}

// ApplyEvent applies a change of a stored hold.
func (k *Keeper) ApplyEvent(e platform.Event) {
	switch e.Type {
	case platform.Put:
		k.applyObject(&e.Object)
	case platform.Deleted:
		if content, err := quarantine.ParseContent(e.Object.Name); err == nil {
			k.recordDeleted(content, e.Object.Version)
		}
	}
}

// recordDeleted ends a hold whose record was deleted from the platform at the given version.
func (k *Keeper) recordDeleted(content quarantine.Content, version uint64) {
	lifted := false
	k.withCore(func(c *quarantine.Core) { lifted = c.RecordDeleted(time.Now(), content, version) })
	if lifted {
		logLifted(content)
		k.carryOut(false)
	}
}

// applyObject applies a stored hold, or starts its removal if it isn't justified any more. One that can't be decoded is
// logged and has no effect.
func (k *Keeper) applyObject(o *platform.Object) {
	content, hold, err := decodeHold(*o)
	if err != nil {
		logline.Info("entry unreadable", "kind", resource.KindHold, "name", o.Name, "why", err)
		return
	}
	k.applyHold(content, hold)
	k.carryOut(false)
}

// liftHold ends a hold that was removed from the platform, by an operator or because the work was answered
// completely.
func (k *Keeper) liftHold(content quarantine.Content) {
	lifted := false
	k.withCore(func(c *quarantine.Core) { lifted = c.Lift(time.Now(), content) })
	if lifted {
		logLifted(content)
		k.carryOut(false)
	}
}

// logLifted logs that a hold ended because it was removed from the platform.
func logLifted(content quarantine.Content) {
	logline.Info("work held no more", "content", content, "why", "the hold was removed from the platform")
}

// Follow applies the holds on the platform and their changes, until ctx ends. After a failed call it pauses and starts
// again with a list. It logs only the first of consecutive failures.
func (k *Keeper) Follow(ctx context.Context) {
	lost, pause := false, minRetryPause
	listed := func() {
		if lost {
			logline.Info("dependency regained", "dependency", "platform holds")
		}
		lost, pause = false, minRetryPause
	}
	for ctx.Err() == nil {
		err := k.followOnce(ctx, listed)
		if ctx.Err() == nil && !lost {
			logline.Info("dependency lost", "dependency", "platform holds", "error", err)
		}
		lost = true
		_ = platform.Sleep(ctx, pause+rand.N(pause)) // fails only when ctx ends, as the loop then does
		pause = min(retryPauseGrowth*pause, maxRetryPause)
	}
}

// eraChanged records the era of a list. It reports whether it differs from the last one, which means that the
// platform was restored from an older copy.
func (k *Keeper) eraChanged(era uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.era
	k.era = era
	return era != old
}

// storeAgain stores holds again that the platform may lack after it was restored from an older copy. All instances do
// so: the first one writes a hold, the others find it stored.
func (k *Keeper) storeAgain(lost []quarantine.Content) {
	for _, content := range lost {
		delay := time.Duration(0)
		if k.cfg.StoreDelay != nil {
			delay = k.cfg.StoreDelay(false)
		}
		k.cfg.RunInBackground(func() { k.storeHold(k.cfg.Background, content, delay) })
	}
}

// followOnce lists the holds, calls listed, and then watches their changes, until a call fails.
func (k *Keeper) followOnce(ctx context.Context, listed func()) error {
	requestedAt := time.Now()
	objects, version, err := k.cfg.Store.List(ctx, resource.KindHold)
	if err != nil {
		return err
	}
	k.ApplyList(requestedAt, version, objects)
	listed()
	w, err := k.cfg.Store.Watch(ctx, []string{resource.KindHold}, version)
	if err != nil {
		return err
	}
	defer w.Close()
	for {
		e, err := w.Next(ctx)
		if err != nil {
			return err
		}
		k.ApplyEvent(e)
	}
}
