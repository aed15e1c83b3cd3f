package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/scaling"
	"github.com/ragworttrestle/ragworttrestle/internal/process/usage"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

const (
	// scalingRecordKind is the kind of the objects that store scalingRecord, one per service.
	scalingRecordKind = "Scaling"
	// scaleInterval is the time between two decisions on the number of engines.
	scaleInterval = 500 * time.Millisecond
	// minConnectedTime is how long the list of upstreams must have been up to date before orders are based
	// on it. New upstreams register within seconds, and after an outage or a restore of the platform the
	// list lacks upstreams that register again.
	minConnectedTime = 3 * time.Second
	// metricDutyScaling is the name, in metrics, of the duty to order engines from the platform.
	metricDutyScaling = "scaling"
)

// scalingRecord is stored on the platform for one service. Era is the era of the platform's store in
// which the record was written; a new era begins when the store is restored from an older copy. Plan
// holds the baseline, which is the number of engines found before the first order, and the last orders.
// The record is written before the orders in it are sent.
type scalingRecord struct {
	Era  uint64       `json:"era"`
	Plan scaling.Plan `json:"plan"`
}

// scaledService is a service for which this process asks the platform to start or stop engines.
type scaledService struct {
	core    *scaling.Core
	version uint64 // of the stored record; 0: there is none
}

// scalingDuty asks the platform to start or stop engines while this process holds the lease. Such a
// request is called an order. scalingDuty is used by one goroutine.
type scalingDuty struct {
	e         *Entry
	authority usage.Authority           // under which services were read
	services  map[string]*scaledService // read so far, by name
}

func newScalingDuty(e *Entry) *scalingDuty { return &scalingDuty{e: e} }

// run sends the orders that are due, every scaleInterval until ctx ends. It does nothing while this process
// may not make the calls of the lease's holder (see dutyGrant), while it has no configuration, or until
// its list of upstreams has been up to date for minConnectedTime.
func (d *scalingDuty) run(ctx context.Context) {
	for platform.Sleep(ctx, scaleInterval) == nil {
		g := d.e.duties.Load()
		c := d.e.state.config.Load()
		if !g.valid(d.e.platformEra()) || c == nil || !d.e.state.steadilyConnected(time.Now()) {
			continue
		}
		if d.authority != g.authority {
			d.authority, d.services = g.authority, make(map[string]*scaledService)
		}
		engines := d.e.state.engines()
		for name, s := range c.Services {
			if s.Scaling != nil {
				d.scaleService(ctx, name, s.Scaling, engines[name])
			}
		}
	}
}

// scaleService decides on orders for one service, records them and sends them.
func (d *scalingDuty) scaleService(ctx context.Context, service string, terms *routing.Scaling, engines []fleet.Upstream) {
	s, ok := d.services[service]
	if !ok {
		if s, ok = d.read(ctx, service); !ok {
			return
		}
		d.services[service] = s
	}
	orders := s.core.Decide(time.Now(), scalingTerms(terms), d.policy(), scalingEngines(engines))
	if len(orders) == 0 {
		return
	}
	if !d.write(ctx, service, s) {
		delete(d.services, service) // another holder of the lease may have written the record: read it again
		return
	}
	for _, o := range orders {
		d.sendOrder(ctx, service, s, o)
	}
}

// policy returns the policy from the settings.
func (d *scalingDuty) policy() scaling.Policy {
	p := d.e.cfg.Settings.Scaling
	return scaling.Policy{LastingShare: p.LastingShare, CostShare: p.CostShare}
}

// scalingTerms converts the scaling terms of a configuration to the type of package scaling.
func scalingTerms(s *routing.Scaling) scaling.Config {
	return scaling.Config{Min: s.Min, Max: s.Max, BootTime: s.Boot, RevocablePrice: s.RevocablePrice}
}

// scalingEngines returns what a decision on the number of engines needs to know about them.
func scalingEngines(engines []fleet.Upstream) []scaling.Engine {
	out := make([]scaling.Engine, 0, len(engines))
	for i := range engines {
		kind := scaling.Lasting
		if engines[i].Revocable {
			kind = scaling.Revocable
		}
		out = append(out, scaling.Engine{Zone: engines[i].Zone, Kind: kind})
	}
	return out
}

// read returns a service as the last holder of the lease recorded it, or false if the platform doesn't
// answer. A record that doesn't exist or can't be decoded counts as empty.
func (d *scalingDuty) read(ctx context.Context, service string) (*scaledService, bool) {
	o, err := d.e.cfg.Records.Get(ctx, scalingRecordKind, service)
	if errors.Is(err, platform.ErrNotFound) {
		return &scaledService{core: scaling.New(scaling.Plan{})}, true
	}
	var record scalingRecord
	if err == nil {
		err = json.Unmarshal(o.Spec, &record)
	}
	if err != nil && o.Version == 0 {
		logline.Info("record of orders not read", "service", service, "error", err)
		return nil, false
	}
	if err != nil {
		logline.Info("entry unreadable", "kind", scalingRecordKind, "name", service, "why", err)
		record = scalingRecord{}
	}
	if record.Era != d.authority.Era {
		record.Plan.Desired = nil // the platform was restored from a copy, which may lack later orders
	}
	return &scaledService{core: scaling.New(record.Plan), version: o.Version}, true
}

// write stores on the platform what is about to be ordered. It reports whether that succeeded while the
// store was still in the era in which this process acquired the lease.
func (d *scalingDuty) write(ctx context.Context, service string, s *scaledService) bool {
	spec, err := json.Marshal(scalingRecord{Era: d.authority.Era, Plan: s.core.Plan()})
	if err != nil {
		logline.Error(err, "record of orders not encoded")
		return false
	}
	o := platform.Object{Kind: scalingRecordKind, Name: service, Version: s.version, Writer: d.e.cfg.Settings.Instance.Name, Nonce: platform.NewNonce(), Spec: spec}
	write := d.e.cfg.Records.Update
	if s.version == 0 {
		write = d.e.cfg.Records.Create
	}
	stored, err := write(ctx, o)
	if err == nil && platform.EraOf(stored.Version) != d.authority.Era {
		err = errors.New("the platform was restored from an older copy meanwhile")
	}
	if err != nil {
		logline.Info("record of orders not written", "service", service, "error", err)
		return false
	}
	s.version = stored.Version
	return true
}

// sendOrder sends an order if this process still holds the lease under which the order was decided.
func (d *scalingDuty) sendOrder(ctx context.Context, service string, s *scaledService, o scaling.Order) {
	g := d.e.duties.Load()
	if !g.valid(d.e.platformEra()) || g.authority != d.authority {
		return
	}
	result, err := d.e.cfg.Scaler.Scale(ctx, d.e.cfg.Settings.Instance.Name, d.authority.Fence, service, o)
	d.e.metrics.countDutyCall(metricDutyScaling, string(result))
	logline.Info("engines ordered", "service", service, "zone", o.Zone, "kind", o.Kind, "desired", o.Desired, "why", o.Reason,
		"fence", d.authority.Fence, "result", result, "error", err)
	if result != DutyDone {
		s.core.OrderFailed(time.Now(), o)
	}
}
