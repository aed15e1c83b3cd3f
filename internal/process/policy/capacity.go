package policy

import (
	"math"
	"sort"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Shares of an engine's time that can be used before queues make answers late.
const (
	usablePrefill = 0.72
	usableDecode  = 0.97
)

// overloadPower: of a load of which only a share fits, that share to this power
// is useful. Queues and fuller batches make some of what is served late too.
const overloadPower = 2

// A decode engine computes prompts in small chunks beside its streams, so it
// reaches only a share of its prefill rate; an engine of role both takes larger
// chunks.
const (
	decodeChunkShare = 0.12
	bothChunkShare   = 0.60
)

// bothBudget is the share of its time that an engine of role both makes use of,
// against a decode engine, if all prompts are computed beside the streams: its
// larger chunks stall them. With prompts computed at prefill engines it loses less.
const bothBudget = 0.6

// fullStall is the share of prompts computed beside streams from which on an
// engine of role both loses all of that: a few large prompts already stall it.
const fullStall = 0.5

// load is the demand of one route as the capacity model sees it.
type load struct {
	requests float64 // a second
	prefill  float64 // prompt tokens a second
	decode   float64 // output tokens a second
	priority int
	gap      float64 // longest useful mean time between tokens, seconds; 0: not bound
}

// capacity is what a set of engines can do. Time shares of decoding engines are
// spent on output tokens and on chunks of prompts; both cost time in proportion,
// beside a fixed cost for each step, which depends on the gap that streams may
// have. This is a fluid model: it knows no queues.
type capacity struct {
	prefill float64 // prompt tokens a second at prefill engines
	engines []decoder
}

// decoder is one group of like engines that decode.
type decoder struct {
	count      float64
	class      resource.Engine
	chunkShare float64
	budget     float64 // against a decode engine, if all prompts are computed beside the streams
}

// countOf adds up the capacity of runners.
func countOf(runners []Runner, without Levers) capacity {
	var c capacity
	for i := range runners {
		r := &runners[i]
		switch r.Role {
		case upstream.RolePrefill:
			c.prefill += r.Class.PrefillRate * usablePrefill
		case upstream.RoleDecode:
			share := decodeChunkShare
			if without.Slack {
				share = 0
			}
			c.addDecoder(r.Class, share, 1)
		default:
			c.addDecoder(r.Class, bothChunkShare, bothBudget)
		}
	}
	return c
}

func (c *capacity) addDecoder(class resource.Engine, share, budget float64) {
	for i := range c.engines {
		if c.engines[i].class == class && c.engines[i].budget == budget {
			c.engines[i].count++
			return
		}
	}
	c.engines = append(c.engines, decoder{count: 1, class: class, chunkShare: share, budget: budget})
}

// step gives the fixed time of a decode step and that of each stream, seconds.
func step(class resource.Engine) (fixed, perStream float64) {
	lone := 1 / math.Max(class.StreamRate, 1e-9)
	if class.MaxBatch <= 1 || class.DecodeRate <= 0 {
		return lone, 0
	}
	full := float64(class.MaxBatch) / class.DecodeRate
	perStream = math.Max(0, (full-lone)/float64(class.MaxBatch-1))
	return lone - perStream, perStream
}

// unboundGap is the time between tokens, in seconds, where no route bounds it.
const unboundGap = 0.2

// budget is the share of a decoding engine's time that is left for streams and
// prompts beside the fixed cost of each step, if steps take as long as the gap.
func budget(class resource.Engine, gap float64) float64 {
	fixed, _ := step(class)
	return math.Max(0, 1-fixed/gap) * usableDecode
}

// decodeRate is the most output tokens a second of a decode engine that keeps the gap.
func decodeRate(class resource.Engine, gap float64) float64 {
	_, perStream := step(class)
	rate := class.DecodeRate * usableDecode
	if perStream > 0 {
		rate = math.Min(rate, budget(class, gap)/perStream)
	}
	return rate
}

// fits tells whether the engines carry the load. Output tokens are spread over
// the decoding engines in proportion to their rates.
func (c *capacity) fits(prefill, decode, gap float64) bool {
	if gap <= 0 {
		gap = unboundGap
	}
	if len(c.engines) == 0 {
		return prefill <= 0 && decode <= 0
	}
	elsewhere := math.Min(c.prefill, prefill)
	beside := 0.0 // share of the prompts that are computed beside streams
	if prefill > 0 {
		beside = (prefill - elsewhere) / prefill
	}
	total := 0.0
	for i := range c.engines {
		total += c.engines[i].count * c.engines[i].rate(gap, beside)
	}
	if decode > total {
		return false
	}
	spare := 0.0 // prompt tokens a second beside the streams
	for i := range c.engines {
		d := &c.engines[i]
		busy := 0.0
		if total > 0 {
			_, perStream := step(d.class)
			busy = decode / total * d.rate(gap, beside) * perStream
		}
		share := math.Min(d.usable(beside)*budget(d.class, gap)-busy, d.chunkShare)
		spare += d.count * math.Max(0, share) * d.class.PrefillRate
	}
	return prefill <= elsewhere+spare
}

// usable is the share of its time that an engine of the group makes use of,
// against a decode engine, if a share of the prompts is computed beside streams.
func (d *decoder) usable(beside float64) float64 {
	return 1 - math.Min(1, beside/fullStall)*(1-d.budget)
}

// rate is the most output tokens a second of one engine of the group.
func (d *decoder) rate(gap, beside float64) float64 {
	return d.usable(beside) * decodeRate(d.class, gap)
}

// bisections gives the served share of a load to better than a thousandth.
const bisections = 11

// useful is the rate of useful answers: the loads are served in order of
// priority, each to the share that still fits beside those before it.
func (c *capacity) useful(loads []load) float64 {
	sorted := append([]load(nil), loads...)
	sort.SliceStable(sorted, func(i, k int) bool { return sorted[i].priority > sorted[k].priority })
	var prefill, decode, answers float64
	gap := tightestGap(loads)
	for i := range sorted {
		l := &sorted[i]
		share := c.share(l, prefill, decode, gap)
		prefill += share * l.prefill
		decode += share * l.decode
		answers += math.Pow(share, overloadPower) * l.requests
	}
	return answers
}

// tightestGap is the gap that every engine keeps, since streams of all routes
// share its steps; zero: none is bound.
func tightestGap(loads []load) float64 {
	gap := 0.0
	for i := range loads {
		if l := &loads[i]; l.gap > 0 && l.decode > 0 && (gap == 0 || l.gap < gap) {
			gap = l.gap
		}
	}
	return gap
}

// share is the largest share of a load that fits beside what is served already.
func (c *capacity) share(l *load, prefill, decode, gap float64) float64 {
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

// expected is the rate of useful answers over the uncertainty of the demand:
// three points for each rate, as if the rates were independent.
func expected(c *capacity, loads []load, demand []Demand, without Levers) float64 {
	base := c.useful(loads)
	if without.Uncertainty {
		return base
	}
	total := base
	for i := range loads {
		keep := loads[i]
		total += around(demand[i].Prefill, func(delta float64) float64 {
			loads[i].prefill = math.Max(0, keep.prefill+delta)
			return c.useful(loads) - base
		})
		loads[i] = keep
		total += around(demand[i].Decode, func(delta float64) float64 {
			loads[i].decode = math.Max(0, keep.decode+delta)
			return c.useful(loads) - base
		})
		loads[i] = keep
	}
	return total
}

// around is the three-point Gauss-Hermite mean of a function of the miss of a forecast.
func around(e Estimate, f func(delta float64) float64) float64 {
	if e.Deviation == 0 {
		return 0
	}
	reach := math.Sqrt(3) * e.Deviation
	return (f(reach) + f(-reach)) / 6
}

// tightest is the route to a model with the shortest gap between tokens.
func tightest(routes map[string]resource.Route, model string) resource.Route {
	var best resource.Route
	for _, r := range routes {
		ms := r.OnTime.BetweenMS
		if r.Model == model && ms > 0 && (best.OnTime.BetweenMS == 0 || ms < best.OnTime.BetweenMS) {
			best = r
		}
	}
	best.Priority = 0
	return best
}

// loadsOf turns demand into loads with the bounds of their routes.
// Demand that is not told by route has the tightest gap of the model's routes.
func loadsOf(demand []Demand, routes map[string]resource.Route, model string) []load {
	loads := make([]load, len(demand))
	for i := range demand {
		d := &demand[i]
		route, ok := routes[d.Route]
		if !ok {
			route = tightest(routes, model)
		}
		loads[i] = load{
			requests: d.Requests.Forecast,
			prefill:  d.Prefill.Forecast,
			decode:   d.Decode.Forecast,
			priority: route.Priority,
			gap:      (time.Duration(route.OnTime.BetweenMS) * time.Millisecond).Seconds(),
		}
	}
	return loads
}
