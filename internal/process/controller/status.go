package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/reconcile"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	// maxStatusWritesPerSecond limits the writes and deletes of statuses by one process.
	maxStatusWritesPerSecond = 5
	// minReasonInterval is the minimum time between two writes of a status if only its
	// reason changes, such as the number of running requests in it.
	minReasonInterval = 5 * time.Second
	// relistInterval is the time between two lists of all statuses, and between two lists
	// of all order slots.
	relistInterval = time.Minute
)

// statuses tracks the Status objects. The keys of its maps are the names of these
// objects, see statusName.
type statuses struct {
	desired          map[string]resource.Status
	stored           map[string]storedObject[resource.Status]
	dirty            map[string]bool // desired differs from what is known to be stored
	writing          map[string]bool // a write or delete is under way
	writtenAt        map[string]boottime.Time
	listing          bool // a list is under way
	listed           bool // a list has succeeded since the last requestList
	listStartedAt    boottime.Time
	writesThisSecond int           // writes and deletes started since secondStart
	secondStart      boottime.Time // start of the second to which the limit on writes applies
}

func newStatuses() statuses {
	return statuses{
		desired: map[string]resource.Status{}, stored: map[string]storedObject[resource.Status]{},
		dirty: map[string]bool{}, writing: map[string]bool{},
		writtenAt: map[string]boottime.Time{},
	}
}

// requestList makes readStatuses list the statuses. Nothing is written until then.
func (s *statuses) requestList() { s.listed = false }

// statusName returns the name of the Status object of another object.
func statusName(kind, name string) string { return kind + "/" + name }

// setRunnerStatus sets the desired status of a runner to that of a MarkStatus step. If
// the latest version of the Runner object was rejected, the status says so.
func (c *Controller) setRunnerStatus(s reconcile.Step) {
	name := statusName(resource.KindRunner, s.Runner)
	version := c.runnerVersions[s.Runner]
	status := resource.Status{
		Accepted: true, Version: version, InForce: version,
		Phase: string(s.Phase), Role: string(s.Role), Reason: s.Reason,
	}
	if snapshot := c.config.Current(); snapshot != nil {
		if r, rejected := snapshot.Rejected[name]; rejected {
			status.Accepted = false
			status.Version, status.InForce, status.Message = r.Version, r.InForce, r.Message
		}
	}
	c.statuses.set(name, status)
}

// setRejections sets the status of each object other than a runner whose latest version
// was rejected, and sets it to accepted when that is no longer the case. It also removes
// the statuses of runners that are no longer configured. Only the holder of the first
// zone by name does this.
func (c *Controller) setRejections() {
	s := c.config.Current()
	if s == nil || !c.statuses.listed || !c.leadsFirstZone() {
		return
	}
	for name, r := range s.Rejected {
		if !strings.HasPrefix(name, resource.KindRunner+"/") {
			c.statuses.set(name, resource.Status{Version: r.Version, InForce: r.InForce, Message: r.Message})
		}
	}
	for name, st := range c.statuses.stored {
		_, rejected := s.Rejected[name]
		runner, ofRunner := strings.CutPrefix(name, resource.KindRunner+"/")
		_, configured := s.Runners[runner]
		switch {
		case rejected:
		case ofRunner && !configured && st.spec.Version <= s.Version: // else this process may not have the runner's configuration yet
			c.removeStatus(name, st.object.Version)
		case !ofRunner && !st.spec.Accepted:
			c.statuses.set(name, resource.Status{Accepted: true, Version: s.Version, InForce: s.Version})
		}
	}
}

// removeStatus deletes the status of a runner that is no longer configured, unless the
// limit on writes is reached. The next reconcile then tries again.
func (c *Controller) removeStatus(name string, version uint64) {
	s := &c.statuses
	if s.writing[name] || s.writesThisSecond >= maxStatusWritesPerSecond {
		return
	}
	s.writesThisSecond++
	s.writing[name] = true
	s.forget(name)
	c.runIO(func(ctx context.Context) func() {
		c.meters.storeCalls.Inc(1)
		err := platform.ResolveDelete(ctx, c.store, resource.KindStatus, name, version, c.self.Name)
		return func() {
			delete(s.writing, name)
			delete(s.stored, name)
			if err != nil {
				s.requestList()
			}
		}
	})
}

// forget drops the desired status with the given name, so that it is not written.
func (s *statuses) forget(name string) {
	delete(s.desired, name)
	delete(s.dirty, name)
	delete(s.writtenAt, name)
}

// set sets the desired status with the given name and marks it as dirty, unless it equals
// the previous desired status or, if there is none, the stored one.
func (s *statuses) set(name string, status resource.Status) {
	old, ok := s.desired[name]
	if !ok {
		old, ok = s.stored[name].spec, s.stored[name].object.Version != 0
	}
	if ok && old == status {
		return
	}
	s.desired[name] = status
	s.dirty[name] = true
}

// readStatuses lists all statuses if requestList was called or relistInterval has passed.
func (c *Controller) readStatuses(now boottime.Time) {
	s := &c.statuses
	if s.listing || (s.listed && now.Sub(s.listStartedAt) < relistInterval) {
		return
	}
	s.listing, s.listStartedAt = true, now
	c.runIO(func(ctx context.Context) func() {
		listed, ok := listObjects[resource.Status](ctx, c, resource.KindStatus)
		return func() {
			s.listing = false
			if ok {
				s.listed = true
				s.merge(listed)
			}
		}
	})
}

// merge replaces the stored statuses by listed ones, and marks the desired statuses that
// differ from these as dirty.
func (s *statuses) merge(listed map[string]storedObject[resource.Status]) {
	s.stored = listed
	for name, status := range s.desired {
		if listed[name].spec != status {
			s.dirty[name] = true
		}
	}
}

// writeStatuses starts writes of dirty statuses in the order of their names, up to
// maxStatusWritesPerSecond. The rest is written by later calls.
func (c *Controller) writeStatuses() {
	s := &c.statuses
	now := boottime.Now()
	if now.Sub(s.secondStart) >= time.Second {
		s.secondStart, s.writesThisSecond = now, 0
	}
	if !s.listed || !c.leadsAny() {
		return
	}
	names := make([]string, 0, len(s.dirty))
	for name := range s.dirty {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if s.writesThisSecond >= maxStatusWritesPerSecond {
			return
		}
		if !s.writing[name] && !s.canDefer(name, now) {
			s.writesThisSecond++
			s.writtenAt[name] = now
			c.writeStatus(name, s.desired[name], s.stored[name].object.Version)
		}
	}
}

// canDefer reports whether the desired status differs from the stored one only in its
// reason and was last written less than minReasonInterval ago.
func (s *statuses) canDefer(name string, now boottime.Time) bool {
	old, next := s.stored[name].spec, s.desired[name]
	old.Reason = next.Reason
	return old == next && now.Sub(s.writtenAt[name]) < minReasonInterval
}

// writeStatus writes a status over version base of its object; 0 creates the object. If
// that fails, the status becomes dirty again and the statuses are listed.
func (c *Controller) writeStatus(name string, status resource.Status, base uint64) {
	s := &c.statuses
	s.writing[name] = true
	delete(s.dirty, name)
	c.runIO(func(ctx context.Context) func() {
		o, err := resource.Encode(resource.KindStatus, name, status)
		if err == nil {
			o.Version, o.Writer = base, c.self.Name
			c.meters.storeCalls.Inc(1)
			o, err = platform.Write(ctx, c.store, o)
		}
		return func() {
			delete(s.writing, name)
			if err != nil {
				logline.Debug("status not written", "status", name, "error", err)
				if _, wanted := s.desired[name]; wanted {
					s.dirty[name] = true
				}
				s.requestList()
				return
			}
			s.stored[name] = storedObject[resource.Status]{object: o, spec: status}
		}
	})
}

// leadsAny reports whether this process may send orders in any zone.
func (c *Controller) leadsAny() bool {
	for _, z := range c.zones {
		if z.leads() {
			return true
		}
	}
	return false
}
