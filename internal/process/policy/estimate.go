package policy

import (
	"math"
	"time"
)

// Time constants of the estimates.
const (
	bucketTime         = time.Second // interval at which observed demand is added
	fastSeconds        = 8.0         // fast moving average
	slowSeconds        = 40.0        // slow moving average
	persistenceSeconds = 400.0       // decay of the learned persistence
	maxSpan            = 25.0        // upper limit of forecaster.span: a swing that lasts this long is worth a change
)

// Assumption about the persistence before anything is learned: priorPersistence is the fraction
// of a swing that lasts, and priorWeight the weight of this assumption relative to
// forecaster.square.
const (
	priorPersistence = 0.9
	priorWeight      = 4.0
)

// decayingMean is an exponentially weighted moving average. Dividing by the sum of the weights
// avoids a bias toward zero after the start.
type decayingMean struct {
	sum, weight float64
}

// add adds a value that was valid for dt seconds. tau is the time constant in seconds.
func (m *decayingMean) add(v, dt, tau float64) {
	decay := math.Exp(-dt / tau)
	m.sum = m.sum*decay + v*(1-decay)
	m.weight = m.weight*decay + (1 - decay)
}

// value returns the average, or 0 if no value was added.
func (m *decayingMean) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// pendingForecast is a forecast to be compared with the rates that follow it.
type pendingForecast struct {
	at    float64 // time of the forecast in seconds, as forecaster.now
	slow  float64 // slow average at that time
	swing float64 // swing at that time
	sum   float64 // integral of the rates since that time
}

// forecaster forecasts one rate. It learns which fraction of a swing, that is, of the difference
// of the fast from the slow moving average, lasts. A step to a new level lasts. A periodic swing
// whose period is near the horizon doesn't, and a role change for it would come too late.
type forecaster struct {
	span       float64 // time over which a swing is compared with the rates that follow, in seconds
	ablation   Ablation
	now        float64 // seconds since the first rate
	fast, slow decayingMean
	cross      float64      // decayed sum of relative swings times what remained of them
	square     float64      // decayed sum of squared relative swings
	noise      decayingMean // squared difference of single rates from the fast mean
	swings     decayingMean // squared swings
	pending    []pendingForecast
}

// add adds the mean rate of the last dt seconds.
func (f *forecaster) add(rate, dt float64) {
	f.now += dt
	if f.fast.weight > 0 {
		residual := rate - f.fast.value()
		f.noise.add(residual*residual, dt, slowSeconds)
	}
	f.fast.add(rate, dt, fastSeconds)
	f.slow.add(rate, dt, slowSeconds)
	for i := range f.pending {
		f.pending[i].sum += rate * dt
	}
	for len(f.pending) > 0 && f.now-f.pending[0].at >= f.span {
		f.learn(f.pending[0], dt)
		f.pending = f.pending[1:]
	}
	swing := f.swing()
	f.swings.add(swing*swing, dt, slowSeconds)
	f.pending = append(f.pending, pendingForecast{at: f.now, slow: f.slow.value(), swing: swing})
}

// learn updates the persistence from an earlier swing and the mean rate that followed it. Both are
// taken relative to the greater of the slow average and that mean rate. dt is the time since the
// last update in seconds.
func (f *forecaster) learn(p pendingForecast, dt float64) {
	actual := p.sum / (f.now - p.at)
	scale := math.Max(p.slow, actual)
	if scale <= 0 {
		return
	}
	decay := math.Exp(-dt / persistenceSeconds)
	swing := p.swing / scale
	remaining := (actual - p.slow) / scale
	f.cross = f.cross*decay + swing*remaining*dt
	f.square = f.square*decay + swing*swing*dt
}

// persistence returns the learned fraction of a swing that lasts over the span, from 0 to 1.
func (f *forecaster) persistence() float64 {
	if f.ablation.Persistence {
		return 1
	}
	p := (priorPersistence*priorWeight + f.cross) / (priorWeight + f.square)
	return math.Min(1, math.Max(0, p))
}

// forecast returns the expected mean rate over the horizon: the slow mean plus the lasting
// part of the swing.
func (f *forecaster) forecast() float64 {
	return math.Max(0, f.slow.value()+f.persistence()*f.swing())
}

// noiseDeviations is the number of standard deviations of the fast mean that count as noise.
const noiseDeviations = 3.0

// swing returns the difference of the fast mean from the slow one, or 0 if it is within noise.
func (f *forecaster) swing() float64 {
	swing := f.fast.value() - f.slow.value()
	if math.Abs(swing) <= noiseDeviations*f.deviation() && !f.ablation.Uncertainty {
		return 0
	}
	return swing
}

// deviation returns the standard deviation of the fast mean that is due to noise: that of single
// rates, reduced according to the number of buckets that the mean covers.
func (f *forecaster) deviation() float64 {
	return math.Sqrt(f.noise.value() * bucketTime.Seconds() / (2 * fastSeconds))
}

// uncertainty returns the standard deviation of the rate around the forecast. It combines the
// noise and the part of the swings that doesn't last.
func (f *forecaster) uncertainty() float64 {
	noise := f.deviation()
	return math.Sqrt(noise*noise + (1-f.persistence())*f.swings.value())
}

func (f *forecaster) estimate() Estimate {
	return Estimate{
		Fast:      f.fast.value(),
		Slow:      f.slow.value(),
		Forecast:  f.forecast(),
		Deviation: f.uncertainty(),
		Persist:   f.persistence(),
	}
}

// routeDemand collects the demand of one route on a model.
type routeDemand struct {
	name                      string
	requests, prefill, decode forecaster
	late                      decayingMean // requests per second
	pending                   demandSum
}

// demandSum is the demand reported since the estimates were last updated: numbers of requests and
// tokens.
type demandSum struct {
	requests, prefill, decode, late float64
}

func newRouteDemand(name string, cfg Config) *routeDemand {
	f := forecaster{span: min(cfg.Horizon.Seconds(), maxSpan), ablation: cfg.Ablation}
	return &routeDemand{name: name, requests: f, prefill: f, decode: f}
}

// updateEstimates adds the pending demand of the last dt seconds to the estimates.
func (r *routeDemand) updateEstimates(dt float64) {
	reported := r.pending
	r.pending = demandSum{}
	r.requests.add(reported.requests/dt, dt)
	r.prefill.add(reported.prefill/dt, dt)
	r.decode.add(reported.decode/dt, dt)
	r.late.add(reported.late/dt, dt, fastSeconds)
}

func (r *routeDemand) demand() Demand {
	return Demand{
		Route:    r.name,
		Requests: r.requests.estimate(),
		Prefill:  r.prefill.estimate(),
		Decode:   r.decode.estimate(),
		Late:     r.late.value(),
	}
}
