package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	// recordByPlacer and recordByAny are how long those wait with the record of a hold that
	// did not find its last crash. The one that did writes at once; the others only if
	// that didn't reach the platform.
	recordByPlacer = 500 * time.Millisecond
	recordByAny    = 2 * time.Second
	// mostTold bounds a hold that is read: clocks of instances differ, and other writers may
	// write anything.
	mostTold = 2 * quarantine.MostHold
	// cleanEvery is how often records of holds that are over are looked for.
	cleanEvery = time.Minute
)

// holdsBegun writes down the holds that began, and has the platform keep them: it tells
// instances that are cut off from others, and those that start later. own: the last crash
// was found by this process.
func (e *Entry) holdsBegun(own bool) {
	var begun []quarantine.Content
	e.state.withCrashes(func(c *quarantine.Core) { begun = c.Begun() })
	for _, content := range begun {
		hold, ok := e.state.unrecorded(content)
		if !ok {
			continue
		}
		e.meters.holds.Inc(1)
		logline.Info("work held", "content", content, "until", hold.Until.Format(time.RFC3339), "times", hold.Times, "own", own)
		e.loop(func() { e.recordHold(e.work, content, e.recordDelay(own)) })
	}
}

// unrecorded gives the hold of some work if the platform doesn't have it yet.
func (s *state) unrecorded(content quarantine.Content) (hold quarantine.Hold, ok bool) {
	s.withCrashes(func(c *quarantine.Core) { hold, ok = c.Unrecorded(time.Now(), content) })
	return hold, ok
}

func (e *Entry) recordDelay(own bool) time.Duration {
	switch {
	case own || e.shared == nil:
		return 0
	case e.shared.isPlacer():
		return spread(recordByPlacer)
	}
	return spread(recordByAny)
}

// recordHold has the platform keep a hold, however long that takes.
func (e *Entry) recordHold(ctx context.Context, content quarantine.Content, delay time.Duration) {
	told := false
	for pause := retryPause; platform.Sleep(ctx, delay) == nil; pause = min(retryPauseGrowth*pause, retryPauseMost) {
		hold, ok := e.state.unrecorded(content)
		if !ok {
			return
		}
		err := e.putHold(ctx, content, hold)
		if err == nil {
			return
		}
		if !told {
			told = true
			logline.Info("hold not recorded", "content", content, "error", err, "then", "it is tried until it works")
		}
		delay = spread(pause)
	}
}

// putHold writes a hold, or takes the one that stands there.
func (e *Entry) putHold(ctx context.Context, content quarantine.Content, hold quarantine.Hold) error {
	o, err := resource.Encode(resource.KindHold, content.String(), resource.Hold{UntilMS: hold.Until.UnixMilli(), Times: hold.Times})
	if err != nil {
		return err
	}
	o.Writer = e.cfg.Settings.Instance.Name
	_, err = e.cfg.Records.Create(ctx, o)
	if errors.Is(err, platform.ErrConflict) {
		return e.replaceHold(ctx, content, hold, o)
	}
	if err == nil {
		e.holdRecorded(content, hold)
	}
	return err
}

// replaceHold writes over a hold that is over, or can't be read.
func (e *Entry) replaceHold(ctx context.Context, content quarantine.Content, hold quarantine.Hold, o platform.Object) error {
	old, err := e.cfg.Records.Get(ctx, resource.KindHold, o.Name)
	if err != nil && old.Version == 0 {
		return err
	}
	if err == nil {
		if _, there, err := holdOf(old); err == nil && there.Until.After(time.Now()) {
			e.holdRecorded(content, there)
			return nil
		}
	}
	o.Version = old.Version
	if _, err = e.cfg.Records.Update(ctx, o); err == nil {
		e.holdRecorded(content, hold)
	}
	return err
}

// holdOf decodes a hold and checks it.
func holdOf(o platform.Object) (quarantine.Content, quarantine.Hold, error) {
	content, err := quarantine.ParseContent(o.Name)
	if err != nil {
		return content, quarantine.Hold{}, err
	}
	spec, err := resource.Decode[resource.Hold](o)
	hold := quarantine.Hold{Until: time.UnixMilli(spec.UntilMS), Times: spec.Times}
	if err == nil && (spec.Times < 1 || time.Until(hold.Until) > mostTold) {
		err = errors.Errorf("hold %s: times %d, untilMS %d", o.Name, spec.Times, spec.UntilMS)
	}
	return content, hold, err
}

// holdRecorded takes a hold that the platform has.
func (e *Entry) holdRecorded(content quarantine.Content, hold quarantine.Hold) {
	news := false
	e.state.withCrashes(func(c *quarantine.Core) { news = c.Recorded(time.Now(), content, hold) })
	if news {
		logline.Info("work held", "content", content, "until", hold.Until.Format(time.RFC3339), "times", hold.Times, "why", "the platform has it")
	}
}

// takeHold takes a hold from the platform. One that can't be read holds nothing.
func (e *Entry) takeHold(o platform.Object) {
	content, hold, err := holdOf(o)
	if err != nil {
		e.meters.unreadable(resource.KindHold)
		logline.Info("entry unreadable", "kind", resource.KindHold, "name", o.Name, "why", err)
		return
	}
	e.holdRecorded(content, hold)
}

// lift ends a hold that the platform has no more: an operator took it away, or the work was
// answered whole after all.
func (e *Entry) lift(content quarantine.Content) {
	lifted := false
	e.state.withCrashes(func(c *quarantine.Core) { lifted = c.Lift(content) })
	if lifted {
		logline.Info("work held no more", "content", content, "why", "the platform has the hold no more")
	}
}

// followHolds keeps up with the holds that the platform has.
func (e *Entry) followHolds(ctx context.Context) {
	list := func(ctx context.Context) (uint64, error) {
		objects, revision, err := e.cfg.Records.List(ctx, resource.KindHold)
		if err != nil {
			return 0, err
		}
		e.replaceHolds(objects)
		return revision, nil
	}
	watch := func(ctx context.Context, from uint64, wait time.Duration) (uint64, error) {
		events, revision, err := e.cfg.Watcher.Changes(ctx, resource.KindHold, from, wait)
		if err != nil {
			return 0, err
		}
		for _, ev := range events {
			e.holdChanged(ev)
		}
		return revision, nil
	}
	e.follow(ctx, feed{name: "platform holds", list: list, watch: watch, lost: func() {}})
}

func (e *Entry) holdChanged(ev platform.Event) {
	if ev.Type != platform.Deleted {
		e.takeHold(ev.Object)
		return
	}
	if content, err := quarantine.ParseContent(ev.Object.Name); err == nil {
		e.lift(content)
	}
}

// replaceHolds takes all holds that the platform has.
func (e *Entry) replaceHolds(objects []platform.Object) {
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
		e.takeHold(o)
	}
	var known []quarantine.Content
	e.state.withCrashes(func(c *quarantine.Core) { known = c.OnRecord() })
	for _, content := range known {
		if !listed[content.String()] {
			e.lift(content)
		}
	}
}

// cleanHolds removes records of holds that are long over, at one instance of the fleet.
func (e *Entry) cleanHolds(ctx context.Context) {
	for platform.Sleep(ctx, spread(cleanEvery)) == nil {
		if rank, ok := e.rank(time.Now()); !ok || rank > 0 {
			continue
		}
		var over []quarantine.Content
		e.state.withCrashes(func(c *quarantine.Core) { over = c.Over(time.Now()) })
		for _, content := range over {
			e.deleteHold(ctx, content)
		}
	}
}

// deleteHold has the platform forget a hold. If that fails it is over by itself.
func (e *Entry) deleteHold(ctx context.Context, content quarantine.Content) {
	err := e.cfg.Records.Delete(ctx, resource.KindHold, content.String(), 0, e.cfg.Settings.Instance.Name, platform.NewNonce())
	logline.Info("hold removed", "content", content, "error", err)
}
