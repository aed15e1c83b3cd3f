package entry

import (
	"context"
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// kindDirectory is the kind of the objects that name the first instances of each availability zone, one
// object per zone (see peers.Directory).
const kindDirectory = "PeerDirectory"

// readDirectories reads the directories of all availability zones, and repeats that until the platform
// answers. It reports whether there is one of the local zone. At the first start of a deployment, and in
// small zones, there is none.
func (s *peerExchange) readDirectories(ctx context.Context) bool {
	for delay := minRetryPause; ctx.Err() == nil; delay = min(retryPauseGrowth*delay, relistPause) {
		start := time.Now()
		objects, _, err := s.e.cfg.Watcher.ListStale(ctx, kindDirectory) // instances that have moved since are found by the list
		s.startFailed.Store(err != nil)
		if err != nil {
			logline.Info("directories not read", "error", err)
			_ = platform.Sleep(ctx, addJitter(delay)) // an error means that ctx has ended, which the loop checks
			continue
		}
		known := s.applyDirectories(objects)
		logline.Info("directories read", "count", len(objects), "own", known, "ms", time.Since(start).Milliseconds())
		return known
	}
	return false
}

// applyDirectories applies directories that were read. It reports whether there is one of the local zone.
func (s *peerExchange) applyDirectories(objects []platform.Object) bool {
	var directories []peers.Directory
	for _, o := range objects {
		d, err := resource.Decode[peers.Directory](o)
		if err != nil {
			logline.Error(err, "directory unreadable", "name", o.Name)
			continue
		}
		directories = append(directories, d)
	}
	if len(directories) == 0 {
		return false
	}
	s.mu.Lock()
	known := s.core.SetDirectories(time.Now(), directories)
	if known {
		s.core.InstanceListRead(boottime.Now())
	}
	s.mu.Unlock()
	s.directoryRead.Store(known)
	s.recheckFollowing()
	return known
}

// announceBeforeList announces and introduces this instance, and returns when it is time to read the list
// of instances: at once if it needs the list, or else at a random moment, so that instances that started
// together don't read it together. It reports whether the announcement succeeded.
func (s *peerExchange) announceBeforeList(ctx context.Context) (announced bool) {
	end := time.Now().Add(rand.N(relistInterval))
	for delay := minRetryPause; ctx.Err() == nil && !announced && !s.needsList(); delay = min(retryPauseGrowth*delay, relistPause) {
		if announced = s.announce(ctx); !announced {
			_ = platform.Sleep(ctx, addJitter(delay))
		}
	}
	s.mu.Lock()
	to := s.core.AnnounceTargets()
	s.mu.Unlock()
	s.introduce(to...)
	for time.Now().Before(end) && !s.needsList() && platform.Sleep(ctx, followCheckInterval) == nil {
	}
	return announced
}

// needsList reports whether this instance needs the list of instances now.
func (s *peerExchange) needsList() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.NeedsList(time.Now())
}

// writeDirectory stores the directory of the local zone, if that is the task of this instance and the
// directory isn't stored yet as it is now.
func (s *peerExchange) writeDirectory(ctx context.Context) {
	s.mu.Lock()
	d, ok := s.core.OwnDirectory(time.Now())
	s.mu.Unlock()
	era := s.e.platformEra()
	if !ok || (reflect.DeepEqual(d, s.directory) && era == s.directoryEra) {
		return
	}
	o, err := resource.Encode(kindDirectory, d.Zone, d)
	if err != nil {
		logline.Error(err, "directory not encoded")
		return
	}
	o.Writer = s.self.Name
	if err := s.createOrReplace(ctx, o); err != nil {
		logline.Info("directory not stored", "error", err)
		return
	}
	s.directory, s.directoryEra = d, era
	logline.Info("directory stored", "zone", d.Zone, "instances", d.Size, "first", len(d.First))
}

// createOrReplace stores an object of this instance, which may exist already.
func (s *peerExchange) createOrReplace(ctx context.Context, o platform.Object) error {
	_, err := s.e.cfg.Records.Create(ctx, o)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	old, err := s.e.cfg.Records.Get(ctx, o.Kind, o.Name)
	if err != nil {
		return err
	}
	if string(old.Spec) == string(o.Spec) {
		return nil
	}
	o.Version = old.Version
	_, err = s.e.cfg.Records.Update(ctx, o)
	return err
}
