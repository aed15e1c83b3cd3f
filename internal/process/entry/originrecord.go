package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/origins"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// originRecord keeps the platform's record of possible origins of streams (package origins) up to date while this instance
// follows the list of upstreams.
type originRecord struct {
	mu      sync.Mutex
	core    *origins.Core
	changed chan struct{} // signals that a write or a read may be due
}

func newOriginRecord() *originRecord {
	return &originRecord{core: origins.New(), changed: make(chan struct{}, 1)}
}

// with calls f with the core while holding mu.
func (r *originRecord) with(f func(now time.Time, core *origins.Core)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Now(), r.core)
}

// forget has the record read again, as it isn't what this instance has read.
func (r *originRecord) forget() {
	r.with(func(_ time.Time, core *origins.Core) { core.Restored() })
	r.recheck()
}

// recheck triggers a check of whether a read or a write is due.
func (r *originRecord) recheck() {
	select {
	case r.changed <- struct{}{}:
	default: // a check is pending already
	}
}

const (
	// originCheckInterval is how often writes are looked for that become due with time.
	originCheckInterval = time.Second
	// originRecordName is the name of the record.
	originRecordName = "main"
)

// followOrigins keeps the record of origins up to date until ctx ends.
func (e *Entry) followOrigins(ctx context.Context) {
	defer func() { e.origins.with(func(_ time.Time, core *origins.Core) { *core = *origins.New() }) }()
	d := &dependency{name: "record of origins"}
	for pause := minRetryPause; ctx.Err() == nil; {
		err := e.updateOriginRecord(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			d.recordSuccess()
			pause = minRetryPause
			e.origins.await(ctx)
		default:
			d.recordFailure(err)
			_ = platform.Sleep(ctx, addJitter(pause)) // an error means that ctx has ended, which the loop checks
			pause = min(retryPauseGrowth*pause, maxRetryPause)
		}
	}
}

// await waits until a check is due.
func (r *originRecord) await(ctx context.Context) {
	timer := time.NewTimer(originCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.changed:
	}
}

// updateOriginRecord reads the record if that is due, and makes the write that is due.
func (e *Entry) updateOriginRecord(ctx context.Context) error {
	needsRead := false
	e.origins.with(func(_ time.Time, core *origins.Core) {
		if e.platformEra() != core.Era() {
			core.Restored()
		}
		needsRead = core.NeedsRead()
	})
	if needsRead { // also before the upstreams are listed, as they get no work until it is read
		if err := e.readOriginRecord(ctx); err != nil {
			return err
		}
	}
	versions, routes, known := e.state.possibleOrigins()
	if !known {
		return nil
	}
	e.origins.with(func(now time.Time, core *origins.Core) { core.SetListed(now, versions, routes) })
	var record origins.Record
	var object origins.Object
	due := false
	e.origins.with(func(now time.Time, core *origins.Core) { record, object, due = core.NextWrite(now) })
	if !due {
		return nil
	}
	return e.writeOriginRecord(ctx, record, object)
}

// readOriginRecord reads and applies the record.
func (e *Entry) readOriginRecord(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout) // upstreams get no work until it is read
	defer cancel()
	o, err := e.cfg.Records.Get(ctx, resource.KindOriginRecord, originRecordName)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		e.applyOriginRecord(e.platformEra(), platform.Object{})
	case err != nil && o.Version == 0:
		return err
	default:
		e.applyOriginRecord(platform.EraOf(o.Version), o) // an unreadable one is replaced
	}
	return nil
}

// writeOriginRecord writes the record. If another instance has written it meanwhile, it reads it instead.
func (e *Entry) writeOriginRecord(ctx context.Context, record origins.Record, object origins.Object) error {
	o, err := resource.Encode(resource.KindOriginRecord, originRecordName, record)
	if err != nil {
		return err
	}
	o.Version, o.UID, o.Writer = object.Version, object.UID, e.cfg.Settings.Instance.Name
	stored, err := platform.Write(ctx, e.cfg.Records, o)
	switch {
	case err == nil:
		logline.Info("origins recorded", "services", len(record.Versions), "routes", len(record.Routes), "era", record.Era,
			"incomplete", record.IncompleteMS != 0, "version", stored.Version)
		e.applyOriginRecord(platform.EraOf(stored.Version), stored)
		return nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound), errors.Is(err, platform.ErrOutcomeUnknown):
		if err := e.readOriginRecord(ctx); err != nil {
			return err
		}
		e.origins.recheck() // it may lack what this instance would have written
		return nil
	}
	return err
}

// applyOriginRecord applies the record as it is stored in an era of the platform; an object without a version stands for
// none. An unreadable one counts as one of another era: it is replaced by what this instance knows.
func (e *Entry) applyOriginRecord(era uint64, o platform.Object) {
	var record *origins.Record
	if o.Version != 0 {
		decoded, err := decodeOriginRecord(o)
		if err != nil {
			logline.Error(err, "record of origins unreadable")
			decoded = origins.Record{Era: origins.NoEra}
		}
		record = &decoded
	}
	var recorded map[string]map[string]bool
	e.origins.with(func(now time.Time, core *origins.Core) {
		core.Loaded(now, era, origins.Object{Version: o.Version, UID: o.UID}, record)
		recorded = core.Recorded()
	})
	e.state.setRecorded(time.Now(), recorded)
}

// decodeOriginRecord decodes the record. It ignores fields that a newer program has added.
func decodeOriginRecord(o platform.Object) (record origins.Record, err error) {
	err = json.Unmarshal(o.Spec, &record)
	return record, errors.Wrap(err, "record of origins")
}

// possibleOrigins returns, for each service with routes that are answered by streams, the versions of listed upstreams that
// can begin streams, and for each of these routes, by host and path prefix, the services to which it leads. Routes that
// aren't resumable count, as they may become it. known is false without a configuration or a list of upstreams.
func (s *state) possibleOrigins() (versions, routes map[string][]string, known bool) {
	c := s.config.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c == nil || !s.listed {
		return nil, nil, false
	}
	versions, routes = make(map[string][]string), make(map[string][]string)
	for i := range c.Routes {
		route := &c.Routes[i]
		for _, service := range route.StreamedServices() {
			versions[service] = s.fleet.Software(service)
			routes[route.Prefix()] = append(routes[route.Prefix()], service)
		}
	}
	return versions, routes, true
}
