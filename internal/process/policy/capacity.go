package policy

import (
	"math"
	"sort"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Fractions of an engine's time that can be used before queueing makes answers late.
const (
	usablePrefill = 0.72
	usableDecode  = 0.97
)

// overloadPower is the exponent that converts the fraction of a load that the engines can
// serve into the fraction whose answers are useful. It is above 1 because queues and fuller
// batches delay some of the served answers too much.
const overloadPower = 2

// Limits of the prompt rate of an engine that also serves streams, as fractions of the engine's
// prefill rate. An engine with the role decode computes prompts in small chunks. An engine with the
// role "both" (prefill and decode batched together) computes them in larger chunks.
const (
	decodeChunkShare = 0.12
	bothChunkShare   = 0.60
)

// bothBudget is the usable time of an engine with the role "both", relative to an engine with the
// role decode, if all prompts are computed beside the streams. It is below 1 because the larger
// prompt chunks stall the streams. The loss is smaller if prefill engines compute some of the
// prompts.
const bothBudget = 0.6

// fullStallShare is a fraction of the prompts. If at least this fraction is computed beside
// streams, an engine with the role "both" has only bothBudget of its time left. It is below 1
// because a few large prompts are enough to stall the engine.
const fullStallShare = 0.5

// load is the forecast demand of one route, as input of the capacity model.
type load struct {
	requests float64 // per second
	prefill  float64 // prompt tokens per second
	decode   float64 // output tokens per second
	priority int
	gap      float64 // limit of the mean time between two output tokens of a stream, in seconds; 0: no limit
}

// capacity is the capacity of a set of engines. An engine that decodes divides its time
// between output tokens and prompt chunks. Both take time in proportion to their number. In
// addition, each decode step takes a fixed time. If the time allowed between two output tokens
// (the gap) is longer, there are fewer steps, and their fixed times take a smaller fraction of
// the engine's time. The model treats demand as continuous flows and has no queues.
type capacity struct {
	prefill  float64 // prompt tokens per second at prefill engines
	decoders []decodeGroup
}

// decodeGroup is a group of decoding engines of the same class and role.
type decodeGroup struct {
	count      float64
	class      resource.Engine
	chunkShare float64 // maximum fraction of the time spent on prompts
	budget     float64 // usable time relative to a decode engine, if all prompts are computed beside streams
}

// capacityOf returns the total capacity of runners.
func capacityOf(runners []Runner, ablation Ablation) capacity {
	var c capacity
	for i := range runners {
		r := &runners[i]
		switch r.Role {
		case upstream.RolePrefill:
			c.prefill += r.Class.PrefillRate * usablePrefill
		case upstream.RoleDecode:
			share := decodeChunkShare
			if ablation.DecoderPrefill {
				share = 0
			}
			c.addDecoder(r.Class, share, 1)
		default:
			c.addDecoder(r.Class, bothChunkShare, bothBudget)
		}
	}
	return c
}

// addDecoder counts one decoding engine in the group of its class and role.
func (c *capacity) addDecoder(class resource.Engine, share, budget float64) {
	for i := range c.decoders {
		if c.decoders[i].class == class && c.decoders[i].budget == budget {
			c.decoders[i].count++
			return
		}
	}
	c.decoders = append(c.decoders, decodeGroup{count: 1, class: class, chunkShare: share, budget: budget})
}

// stepTime returns the fixed time of a decode step and the additional time for each stream,
// in seconds. It derives them from the rates declared for a single stream and a full batch.
func stepTime(class resource.Engine) (fixed, perStream float64) {
	singleStream := 1 / math.Max(class.StreamRate, 1e-9)
	if class.MaxBatch <= 1 || class.DecodeRate <= 0 {
		return singleStream, 0
	}
	fullBatch := float64(class.MaxBatch) / class.DecodeRate
	perStream = math.Max(0, (fullBatch-singleStream)/float64(class.MaxBatch-1))
	return singleStream - perStream, perStream
}

// defaultGap is the assumed limit of the time between tokens, in seconds, if no route has one.
const defaultGap = 0.2

// usableTimeShare returns the fraction of a decoding engine's time that can be used for streams
// and prompts if each decode step takes gap seconds. This is the fraction that the fixed time of
// the steps leaves, times usableDecode.
func usableTimeShare(class resource.Engine, gap float64) float64 {
	fixed, _ := stepTime(class)
	return math.Max(0, 1-fixed/gap) * usableDecode
}

// decodeRate returns the maximum output tokens per second of a decode engine if no stream may
// wait longer than gap seconds for its next token.
func decodeRate(class resource.Engine, gap float64) float64 {
	_, perStream := stepTime(class)
	rate := class.DecodeRate * usableDecode
	if perStream > 0 {
		rate = math.Min(rate, usableTimeShare(class, gap)/perStream)
	}
	return rate
}

// fits reports whether the engines can serve the given prompt and output tokens per second
// with at most gap seconds between output tokens; 0 stands for defaultGap. Output tokens are
// spread over the decoding engines in proportion to their rates. Prompts that exceed the rate
// of the prefill engines are computed beside the streams.
func (c *capacity) fits(prefill, decode, gap float64) bool {
	if gap <= 0 {
		gap = defaultGap
	}
	if len(c.decoders) == 0 {
		return prefill <= 0 && decode <= 0
	}
	dedicated := math.Min(c.prefill, prefill)
	colocatedShare := 0.0 // fraction of the prompts computed beside streams
	if prefill > 0 {
		colocatedShare = (prefill - dedicated) / prefill
	}
	total := 0.0
	for i := range c.decoders {
		total += c.decoders[i].count * c.decoders[i].rate(gap, colocatedShare)
	}
	if decode > total {
		return false
	}
	spare := 0.0 // prompt tokens per second beside streams
	for i := range c.decoders {
		d := &c.decoders[i]
		busy := 0.0
		if total > 0 {
			_, perStream := stepTime(d.class)
			busy = decode / total * d.rate(gap, colocatedShare) * perStream
		}
		share := math.Min(d.usable(colocatedShare)*usableTimeShare(d.class, gap)-busy, d.chunkShare)
		spare += d.count * math.Max(0, share) * d.class.PrefillRate
	}
	return prefill <= dedicated+spare
}

// usable returns the usable time of an engine of the group, relative to a decode engine, if
// the given fraction of the prompts is computed beside streams.
func (d *decodeGroup) usable(colocatedShare float64) float64 {
	return 1 - math.Min(1, colocatedShare/fullStallShare)*(1-d.budget)
}

// rate returns the maximum output tokens per second of one engine of the group.
func (d *decodeGroup) rate(gap, colocatedShare float64) float64 {
	return d.usable(colocatedShare) * decodeRate(d.class, gap)
}

// bisections is the number of steps in the search for the served fraction of a load; its
// error is then below 0.001.
const bisections = 11

// usefulRate returns the useful answers per second. The loads are served by descending
// priority, each as far as it fits beside those before it.
func (c *capacity) usefulRate(loads []load) float64 {
	sorted := append([]load(nil), loads...)
	sort.SliceStable(sorted, func(i, k int) bool { return sorted[i].priority > sorted[k].priority })
	var prefill, decode, answers float64
	gap := tightestGap(loads)
	for i := range sorted {
		l := &sorted[i]
		share := c.servedShare(l, prefill, decode, gap)
		prefill += share * l.prefill
		decode += share * l.decode
		answers += math.Pow(share, overloadPower) * l.requests
	}
	return answers
}

// tightestGap returns the smallest limit of the time between output tokens among the loads.
// Every engine has to keep to that limit, because streams of all routes share its steps.
// tightestGap returns 0 if there is no limit.
func tightestGap(loads []load) float64 {
	gap := 0.0
	for i := range loads {
		if l := &loads[i]; l.gap > 0 && l.decode > 0 && (gap == 0 || l.gap < gap) {
			gap = l.gap
		}
	}
	return gap
}

// servedShare returns the largest fraction of a load that fits beside the prompt and output
// tokens per second served already.
func (c *capacity) servedShare(l *load, prefill, decode, gap float64) float64 {
	if c.fits(prefill+l.prefill, decode+l.decode, gap) {
		return 1
	}
	low, high := 0.0, 1.0
	for range bisections {
		mid := (low + high) / 2
		if c.fits(prefill+mid*l.prefill, decode+mid*l.decode, gap) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// expectedUseful returns the expected useful answers per second given the uncertainty of the
// demand: the rate at the forecast plus the mean effect of the error of each prefill and decode
// rate. The effects are added as if the errors were independent. loads[i] must belong to
// demand[i]; loads is modified during the call and restored.
func expectedUseful(c *capacity, loads []load, demand []Demand, ablation Ablation) float64 {
	base := c.usefulRate(loads)
	if ablation.Uncertainty {
		return base
	}
	total := base
	for i := range loads {
		original := loads[i]
		total += meanDeviationEffect(demand[i].Prefill, func(delta float64) float64 {
			loads[i].prefill = math.Max(0, original.prefill+delta)
			return c.usefulRate(loads) - base
		})
		loads[i] = original
		total += meanDeviationEffect(demand[i].Decode, func(delta float64) float64 {
			loads[i].decode = math.Max(0, original.decode+delta)
			return c.usefulRate(loads) - base
		})
		loads[i] = original
	}
	return total
}

// meanDeviationEffect returns the mean of f over the normally distributed error of a forecast,
// by three-point Gauss-Hermite quadrature. f(0) must be 0.
func meanDeviationEffect(e Estimate, f func(delta float64) float64) float64 {
	if e.Deviation == 0 {
		return 0
	}
	offset := math.Sqrt(3) * e.Deviation
	return (f(offset) + f(-offset)) / 6
}

// tightestRoute returns the route to a model with the smallest limit of the time between
// tokens, with its priority set to 0. It returns an empty route if none has a limit.
func tightestRoute(routes map[string]resource.Route, model string) resource.Route {
	var best resource.Route
	for _, r := range routes {
		ms := r.OnTime.InterTokenMS
		if r.Model == model && ms > 0 && (best.OnTime.InterTokenMS == 0 || ms < best.OnTime.InterTokenMS) {
			best = r
		}
	}
	best.Priority = 0
	return best
}

// loadsOf returns the forecast loads with the limits of their routes. Demand without a known
// route gets the smallest limit of the time between output tokens among the model's routes.
func loadsOf(demand []Demand, routes map[string]resource.Route, model string) []load {
	loads := make([]load, len(demand))
	for i := range demand {
		d := &demand[i]
		route, ok := routes[d.Route]
		if !ok {
			route = tightestRoute(routes, model)
		}
		loads[i] = load{
			requests: d.Requests.Forecast,
			prefill:  d.Prefill.Forecast,
			decode:   d.Decode.Forecast,
			priority: route.Priority,
			gap:      (time.Duration(route.OnTime.InterTokenMS) * time.Millisecond).Seconds(),
		}
	}
	return loads
}
