package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/roles"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const (
	kindDemand = "Demand" // one object an instance: the demand that it saw lately
	// demandEvery is how often an instance tells its demand. The mix swings within
	// seconds; each telling costs the platform a write.
	demandEvery = 2 * time.Second
	// demandLife is how long a telling counts: three missed ones are an instance that
	// is gone.
	demandLife = 3 * demandEvery
	// occupancyStep is the weight of the newest request in the estimate of how long
	// requests of a route decode.
	occupancyStep = 0.1
	// firstOccupancy is taken before the first request of a route has ended.
	firstOccupancy = 100 * time.Millisecond
)

// demand gathers what callers ask of engines. Its methods may be called from
// several goroutines.
type demand struct {
	mu        sync.Mutex
	since     time.Time
	asked     map[string]roles.Demand  // by service, since the last telling
	occupancy map[string]time.Duration // by route
}

func newDemand() *demand {
	return &demand{
		asked:     make(map[string]roles.Demand),
		occupancy: make(map[string]time.Duration),
	}
}

// arrived counts a request, whatever becomes of it. prefill is the time of one
// engine that its prompt takes.
func (d *demand) arrived(service, route string, prefill time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	decodes, ok := d.occupancy[route]
	if !ok {
		decodes = firstOccupancy
	}
	d.asked[service] = d.asked[service].Add(roles.Demand{Prefill: prefill.Seconds(), Decode: decodes.Seconds()})
}

// decoded notes how long a request decoded.
func (d *demand) decoded(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.occupancy[route]
	if !ok {
		old = took
	}
	d.occupancy[route] = old + time.Duration(occupancyStep*float64(took-old))
}

// take gives the demand a second since the last call.
func (d *demand) take(now time.Time) map[string]roles.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	span := now.Sub(d.since).Seconds()
	first := d.since.IsZero()
	d.since = now
	out := make(map[string]roles.Demand, len(d.asked))
	for service, asked := range d.asked {
		if !first && span > 0 {
			out[service] = roles.Demand{Prefill: asked.Prefill / span, Decode: asked.Decode / span}
		}
		d.asked[service] = roles.Demand{}
	}
	return out
}

// demandSpec is how an instance tells its demand.
type demandSpec struct {
	Services map[string]roles.Demand `json:"services"`
}

// tellDemand writes this instance's demand, if there is any engine to divide.
func (e *Entry) tellDemand(ctx context.Context) {
	now := time.Now()
	asked := e.demand.take(now)
	if len(asked) == 0 {
		return
	}
	o, err := resource.Encode(kindDemand, e.cfg.Settings.Instance.Name, demandSpec{Services: asked})
	if err != nil {
		logline.Error(err, "demand not encoded")
		return
	}
	o.Writer = e.cfg.Settings.Instance.Name
	_, err = e.cfg.Records.Update(ctx, o)
	if errors.Is(err, platform.ErrNotFound) {
		_, err = e.cfg.Records.Create(ctx, o)
	}
	if err != nil {
		logline.Debug("demand not told", "error", err)
	}
}

// heardDemand sums what instances told.
type heardDemand struct {
	seen map[string]heard // by instance
}

type heard struct {
	version uint64
	at      time.Time // when this version was first seen, by this process's clock
}

// read sums the demand of the instances whose telling is fresh.
func (h *heardDemand) read(ctx context.Context, records platform.Store) (map[string]roles.Demand, error) {
	objects, _, err := records.List(ctx, kindDemand)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	seen := make(map[string]heard, len(objects))
	out := make(map[string]roles.Demand)
	for _, o := range objects {
		was, ok := h.seen[o.Name]
		if !ok || was.version != o.Version {
			was = heard{version: o.Version, at: now}
		}
		seen[o.Name] = was
		if now.Sub(was.at) > demandLife {
			continue
		}
		spec, err := resource.Decode[demandSpec](o)
		if err != nil {
			return nil, err
		}
		for service, d := range spec.Services {
			out[service] = out[service].Add(d)
		}
	}
	h.seen = seen
	return out, nil
}
