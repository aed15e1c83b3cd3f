package entry

import (
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/decay"
	"github.com/ragworttrestle/ragworttrestle/internal/mapentry"
	"github.com/ragworttrestle/ragworttrestle/internal/process/roles"
)

const (
	// demandHalfLife is the half-life of a request's weight in the demand. A change of role takes an
	// engine out of service for some seconds, so roles shouldn't follow a surge that is over by then.
	demandHalfLife = 10 * time.Second
	// slotTimeUpWeight and slotTimeDownWeight are the weights of the newest request in the estimate of
	// how long requests of a route occupy a slot. Requests that wait at an engine that crashed or is
	// overloaded occupy one for seconds, which no division of engines between roles would change, so
	// the estimate is biased towards shorter times.
	slotTimeUpWeight   = 0.02
	slotTimeDownWeight = 0.06
	// initialSlotTime is used until the first request of a route has ended.
	initialSlotTime = 100 * time.Millisecond
	// fetchTimeUpWeight and fetchTimeDownWeight are the weights of the newest request in the estimate of
	// how long it takes an engine to fetch the KV cache of a prompt and start the response. Most measured
	// times include a wait for other requests at the engine, so the estimate is biased towards shorter
	// times.
	fetchTimeUpWeight   = 0.002
	fetchTimeDownWeight = 0.1
)

// demandTracker estimates the engine time that callers' requests need. It is safe for concurrent
// use.
type demandTracker struct {
	mu         sync.Mutex
	engineTime map[string]*decayingDemand // by service
	slotTime   map[string]time.Duration   // estimated time for which a request occupies a slot, by route
	fetchTime  map[string]time.Duration   // estimated time to fetch a KV cache and start the response, by service
}

// decayingDemand is the sum of the engine time that requests need. The weight of each request decays
// exponentially with its age.
type decayingDemand struct {
	sum       roles.Demand // seconds
	decayedAt time.Time
}

// decayTo applies the decay up to now.
func (d *decayingDemand) decayTo(now time.Time) {
	if !d.decayedAt.IsZero() {
		d.sum = d.sum.Scale(decay.Factor(now.Sub(d.decayedAt), demandHalfLife))
	}
	d.decayedAt = now
}

func newDemandTracker() *demandTracker {
	return &demandTracker{
		engineTime: make(map[string]*decayingDemand),
		slotTime:   make(map[string]time.Duration),
		fetchTime:  make(map[string]time.Duration),
	}
}

// recordArrival counts a request, whatever its outcome. prefillTime is how long its prompt keeps a
// prefilling engine busy, decoderTime how long its prompt keeps a decoding engine busy. The latter is
// not 0 if the decoding engine prefills the prompt.
func (d *demandTracker) recordArrival(now time.Time, service, route string, prefillTime, decoderTime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	demand := mapentry.GetOrCreate(d.engineTime, service, mapentry.Zero[decayingDemand])
	demand.decayTo(now)
	slotTime, ok := d.slotTime[route]
	if !ok {
		slotTime = initialSlotTime
	}
	fetchTime := decoderTime
	if prefillTime > 0 {
		fetchTime += d.fetchTime[service]
	}
	demand.sum = demand.sum.Add(roles.Demand{Reading: prefillTime.Seconds(), Fetching: fetchTime.Seconds(), Holding: slotTime.Seconds()})
}

// recordDecode records how long a request of a route occupied a slot.
func (d *demandTracker) recordDecode(route string, occupied time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	updateEstimate(d.slotTime, route, occupied, slotTimeUpWeight, slotTimeDownWeight)
}

// recordFetch records the time from sending a request whose prompt another engine had prefilled to
// the first event of its response.
func (d *demandTracker) recordFetch(service string, elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	updateEstimate(d.fetchTime, service, elapsed, fetchTimeUpWeight, fetchTimeDownWeight)
}

// updateEstimate moves the estimate of a name towards the newest time, with upWeight if that time is
// longer than the estimate and with downWeight if it is shorter. The first time is taken as it is.
func updateEstimate(estimates map[string]time.Duration, name string, newest time.Duration, upWeight, downWeight float64) {
	old, ok := estimates[name]
	if !ok {
		estimates[name] = newest
		return
	}
	weight := upWeight
	if newest < old {
		weight = downWeight
	}
	estimates[name] = old + time.Duration(weight*float64(newest-old))
}

// perSecond returns, by service, the engine time that requests need per second. This is the number of
// engines and slots that they keep busy.
func (d *demandTracker) perSecond(now time.Time) map[string]roles.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]roles.Demand, len(d.engineTime))
	for service, demand := range d.engineTime {
		demand.decayTo(now)
		out[service] = demand.sum.Scale(decay.Rate(demandHalfLife))
	}
	return out
}
