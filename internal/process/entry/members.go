package entry

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	// kindPeer is the kind of the objects that list the instances: one object per instance, with its
	// address.
	kindPeer = "Peer"
	// relistInterval is the interval at which the instances are listed again. A new instance introduces
	// itself to others, so later lists only make up for lost messages.
	relistInterval = time.Minute
	// relistPause is the delay before the next list if messages came from instances that weren't on the
	// last list. When instances start together, some of them aren't announced yet when the first one
	// reads the list. It is also the longest delay after a failure.
	relistPause = 2 * time.Second
	// removeTimeout limits the call with which a stopping process removes itself from the list. Its grace
	// period is nearly over then.
	removeTimeout = 300 * time.Millisecond
)

// followMembers announces this instance on the platform and keeps its list of the others up to date,
// until ctx ends. The first list determines whether this instance has to follow the platform. The list
// is therefore read even if the announcement fails, and both are repeated soon after a failure.
//
// An instance that finds the directory of its zone knows whom to ask, and reads the list later.
func (s *peerExchange) followMembers(ctx context.Context) {
	announced, era := false, s.e.platformEra()
	if s.readDirectories(ctx) {
		announced = s.announceBeforeList(ctx)
	}
	for delay := minRetryPause; ctx.Err() == nil; {
		eraCtx := s.e.eraCtx.current(ctx) // a platform restored from an older copy may lack the announcement
		if currentEra := s.e.platformEra(); currentEra != era {
			announced, era = false, currentEra
		}
		announced = announced || s.announce(ctx)
		listed, found := s.refreshMembers(ctx)
		announced = announced && (found || !listed)
		if !listed || !announced {
			_ = platform.Sleep(ctx, addJitter(delay)) // an error means that ctx has ended, which the loop checks
			delay = min(retryPauseGrowth*delay, relistPause)
			continue
		}
		s.writeDirectory(ctx)
		if platform.Sleep(ctx, relistPause) == nil && !s.hasUnlistedPeers() {
			_ = platform.Sleep(eraCtx, relistInterval) // ends early if the platform was restored
		}
	}
}

// announce stores this instance's address on the platform. It reports whether that succeeded.
func (s *peerExchange) announce(ctx context.Context) bool {
	o, err := resource.Encode(kindPeer, s.self.Name, s.self)
	if err != nil {
		logline.Error(err, "instance not encoded")
		return false
	}
	o.Writer = s.self.Name
	if err := s.createOrReplace(ctx, o); err != nil {
		logline.Info("instance not announced", "error", err)
		return false
	}
	return true
}

// refreshMembers reads the list of instances and applies it. listed reports whether the list could be
// read, found whether this instance is on it. Others remove an instance that was silent for long from
// the list, even if that instance was only paused or partitioned.
func (s *peerExchange) refreshMembers(ctx context.Context) (listed, found bool) {
	start := time.Now()
	objects, err := s.listMembers(ctx)
	s.startFailed.Store(err != nil)
	if err != nil {
		logline.Info("instances not listed", "error", err)
		return false, false
	}
	logline.Info("instances listed", "count", len(objects), "ms", time.Since(start).Milliseconds())
	list := make([]peers.Peer, 0, len(objects))
	for _, o := range objects {
		found = found || o.Name == s.self.Name
		p, err := resource.Decode[peers.Peer](o)
		if err != nil {
			logline.Error(err, "instance unreadable", "name", o.Name)
			continue
		}
		list = append(list, p)
	}
	s.mu.Lock()
	now := time.Now()
	s.core.SetListed(now, list)
	s.core.InstanceListRead(boottime.Now())
	toRemove, toIntroduce := s.core.InstancesToRemove(now), s.core.AnnounceTargets()
	s.mu.Unlock()
	s.recheckFollowing()
	s.introduceAfterList(toIntroduce)
	for _, name := range toRemove {
		s.removeMember(ctx, name)
	}
	if !found {
		logline.Info("instance not on the list", "name", s.self.Name, "then", "this instance is announced again")
	}
	return true, found
}

// listMembers returns the instances that the platform lists. The first list has to be up to date, as it
// determines which instances are asked for places unless a directory did, and so have all lists of an
// instance that follows the upstreams. For any other instance, later lists only make up for lost messages and may be stale.
func (s *peerExchange) listMembers(ctx context.Context) ([]platform.Object, error) {
	first := s.listsRead.Load() == 0 && !s.directoryRead.Load()
	if first || s.needsUpstreams(time.Now()) {
		objects, _, err := s.e.cfg.Records.List(ctx, kindPeer)
		return objects, err
	}
	objects, _, err := s.e.cfg.Watcher.ListStale(ctx, kindPeer)
	return objects, err
}

// removeMember removes an instance from the list.
func (s *peerExchange) removeMember(ctx context.Context, name string) {
	err := s.e.cfg.Records.Delete(ctx, kindPeer, name, 0, s.self.Name, platform.NewNonce())
	logline.Info("instance taken off the list", "name", name, "error", err)
}

// hasUnlistedPeers reports whether messages came from instances that weren't on the last list, and
// this instance has to know them because it follows the upstreams.
func (s *peerExchange) hasUnlistedPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.HasUnlistedPeers() && s.core.NeedsUpstreams(time.Now())
}

// maxIntroductions is the number of times that an instance introduces itself: after each of its first
// lists. Once isn't enough, as instances that start together aren't all on the first list, and datagrams
// are lost now and then.
const maxIntroductions = 2

// introduceAfterList introduces this instance to others after each of its first lists. The others have
// to know this instance, as they count the instances that share the upstreams' rate limits.
func (s *peerExchange) introduceAfterList(to []string) {
	if s.listsRead.Add(1) <= maxIntroductions {
		s.introduce(to...)
	}
}
