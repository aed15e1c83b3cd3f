package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Fault configures fault injection. The zero value injects nothing.
type Fault struct {
	Outage         bool          // calls fail without effect, and open watches are cut
	Hang           bool          // calls get no response and have no effect; open watches get no events
	Slow           time.Duration // added to the latency of each call; for a write, half before its effect and half after
	LoseResponses  int           // the next N writes take effect, but their responses are lost
	LoseWrites     int           // the next N writes after those of LoseResponses have no effect and get no response
	CutWatches     bool          // open watches are cut once, by SetFault
	StaleInstances bool          // changes of the instance list are delayed until the fault ends
}

// SetFault replaces the injected fault. If f doesn't have StaleInstances, it applies the delayed
// changes of the instance list.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.CutWatches || f.Outage {
		s.watchCuts++
	}
	f.CutWatches = false
	s.fault = f
	if !f.StaleInstances {
		s.applyHeldChanges()
	}
	s.notifyWatches()
}

// CurrentFault returns the injected fault with the remaining counts.
func (s *Store) CurrentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// admitRead waits for the latency of a read, or returns an error if the rate limit or the
// injected fault refuses it.
func (s *Store) admitRead(ctx context.Context) error {
	s.mu.Lock()
	s.stats.Reads++
	allowed := s.reads.Allow()
	s.countRefusal(allowed)
	s.mu.Unlock()
	if !allowed {
		return errors.Wrap(platform.ErrUnavailable, "too many reads")
	}
	if err := s.admit(ctx, s.cfg.Latency+s.CurrentFault().Slow); err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return nil
}

// countRefusal counts a call that exceeds its rate limit. It requires s.mu.
func (s *Store) countRefusal(allowed bool) {
	if !allowed {
		s.stats.RateRefusals++
	}
}

// admit waits for the latency of a call. It fails during an outage and when ctx ends, for which
// it waits while calls hang.
func (s *Store) admit(ctx context.Context, latency time.Duration) error {
	fault := s.CurrentFault()
	if fault.Hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if fault.Outage {
		return errors.New("outage")
	}
	return sleep(ctx, latency)
}

// sleep waits for d, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return platform.Sleep(ctx, d)
}

// write admits a write, calls apply with s.mu held and returns the stored object. It returns
// ErrUnavailable if the write is refused without effect, and ErrOutcomeUnknown if a fault loses the
// write or its response, or ctx ends after the write took effect.
func (s *Store) write(ctx context.Context, kind string, apply func() (platform.Object, error)) (platform.Object, error) {
	s.mu.Lock()
	s.stats.Writes++
	allowed := s.writes.Allow()
	s.countRefusal(allowed)
	s.mu.Unlock()
	if !allowed {
		return platform.Object{}, errors.Wrap(platform.ErrUnavailable, "too many writes")
	}
	half := (s.cfg.Latency + s.CurrentFault().Slow) / 2
	if err := s.admit(ctx, half); err != nil {
		return platform.Object{}, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	stored, err := s.applyOrLose(kind, apply)
	if err != nil {
		return platform.Object{}, err
	}
	if err := sleep(ctx, half); err != nil {
		return platform.Object{}, errors.Wrap(platform.ErrOutcomeUnknown, err.Error())
	}
	return stored, nil
}

// applyOrLose calls apply, unless a fault loses the write or delays it. A delayed write returns an
// empty object.
func (s *Store) applyOrLose(kind string, apply func() (platform.Object, error)) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.LoseResponses == 0 && s.fault.LoseWrites > 0 {
		s.fault.LoseWrites--
		return platform.Object{}, errors.Wrap(platform.ErrOutcomeUnknown, "lost on the way in")
	}
	if kind == resource.KindInstance && s.fault.StaleInstances {
		s.heldChanges = append(s.heldChanges, func() { _, _ = apply() })
		return platform.Object{}, nil
	}
	stored, err := apply()
	if s.fault.LoseResponses > 0 {
		s.fault.LoseResponses--
		return platform.Object{}, errors.Wrap(platform.ErrOutcomeUnknown, "lost on the way out")
	}
	return stored, err
}

// instanceWriter is the writer of the instance list's objects that the platform itself writes.
const instanceWriter = "platform"

// applyOrHold applies a change of the instance list, or delays it while Fault.StaleInstances is
// set. It requires s.mu.
func (s *Store) applyOrHold(change func()) {
	if s.fault.StaleInstances {
		s.heldChanges = append(s.heldChanges, change)
		return
	}
	change()
}

// applyHeldChanges applies the delayed changes of the instance list in order. It requires s.mu.
func (s *Store) applyHeldChanges() {
	held := s.heldChanges
	s.heldChanges = nil
	for _, change := range held {
		change()
	}
}

// putInstance creates or replaces an entry of the instance list. It requires s.mu.
func (s *Store) putInstance(name string, instance resource.Instance) {
	spec, err := json.Marshal(instance)
	if err != nil {
		panic("platform stand-in: " + err.Error()) // unreachable: strings always marshal
	}
	key := objectKey{resource.KindInstance, name}
	o := platform.Object{Kind: key.kind, Name: key.name, Writer: instanceWriter, Spec: spec}
	if current, ok := s.objects[key]; ok {
		o.UID = current.UID
		s.put(key, o)
		return
	}
	if _, err := s.create(o); err != nil {
		panic("platform stand-in: " + err.Error()) // unreachable: there is no object at the key
	}
}
