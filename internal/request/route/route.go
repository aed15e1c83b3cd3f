package route

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Never is the value of Choice.EarliestOnTime for a request that even an idle runner could not serve
// on time.
const Never = time.Duration(math.MaxInt64)

// Reasons of a Choice.
const (
	ReasonOwnZone  = "on time in the own zone"
	ReasonSpill    = "on time only in another zone"
	ReasonLate     = "predicted late everywhere"
	ReasonNoRunner = "no runner passes the filters"
)

// stackCandidates is the number of candidates up to which Route allocates no memory for
// them.
const stackCandidates = 64

// Route chooses where a request runs. It keeps two invariants: a chosen runner passes
// every filter, whatever the predictions; a runner of another zone is chosen only if
// no runner of this gateway's zone is on time with a safe margin, or none there passes
// the filters. If no candidate of any zone is on time, it prefers the own zone.
func Route(now time.Time, q Request, runners []Runner) Choice {
	var buf [stackCandidates]candidate
	bounds := remainingBudget(now, &q)
	cands := appendCandidates(buf[:0], &q, runners, &bounds)
	if len(cands) == 0 {
		return Choice{Reason: ReasonNoRunner, EarliestOnTime: Never, Rejected: countRejections(&q, runners)}
	}
	inOwnZone := func(c *candidate) bool { return runners[c.decode].Zone == q.Zone }
	if anyOf(cands, func(c *candidate) bool { return c.safe && inOwnZone(c) }) {
		i := pick(cands, q.Seed, func(c *candidate) bool { return c.onTime && inOwnZone(c) })
		return newChoice(runners, &cands[i], ReasonOwnZone)
	}
	i := pick(cands, q.Seed, func(c *candidate) bool { return c.onTime })
	if i != none {
		return newChoice(runners, &cands[i], reasonOf(inOwnZone(&cands[i])))
	}
	i = pick(cands, q.Seed, inOwnZone)
	if i == none {
		i = pick(cands, q.Seed, func(*candidate) bool { return true })
	}
	choice := newChoice(runners, &cands[i], ReasonLate)
	choice.EarliestOnTime = earliest(&q, runners, &bounds)
	return choice
}

func anyOf(cands []candidate, eligible func(*candidate) bool) bool {
	for i := range cands {
		if eligible(&cands[i]) {
			return true
		}
	}
	return false
}

func reasonOf(ownZone bool) string {
	if ownZone {
		return ReasonOwnZone
	}
	return ReasonSpill
}

func newChoice(runners []Runner, c *candidate, reason string) Choice {
	choice := Choice{
		Runner:    runners[c.decode].Name,
		Predicted: c.predicted,
		OnTime:    c.onTime,
		Reason:    reason,
	}
	if c.prefill != none {
		choice.Prefill = runners[c.prefill].Name
	}
	return choice
}

// unsafeCostFactor raises the cost of candidates that are not safely within their
// bounds.
const unsafeCostFactor = 1.5

// appendCandidates appends one candidate for each runner that passes the filters: the
// better of prefilling at the runner itself and of a pair with a prefill runner.
func appendCandidates(cands []candidate, q *Request, runners []Runner, bounds *timeBudget) []candidate {
	prefill := none
	searched := false
	for i := range runners {
		if rejectedBy(q, &runners[i]) != "" {
			continue
		}
		if !searched {
			prefill, searched = bestPrefill(q, runners), true
		}
		c := candidate{decode: i, prefill: none, predicted: Predict(q, &runners[i])}
		evaluate(q, runners, bounds, &c)
		if prefill != none {
			c = betterWithPair(q, runners, bounds, c, prefill)
		}
		if !c.safe {
			c.cost *= unsafeCostFactor
		}
		cands = append(cands, c)
	}
	return cands
}

// evaluate sets the cost of a candidate and whether it is on time and safe. The cost is
// based on c.predicted. Whether it is on time is decided by a second prediction that
// includes the load that peers may have sent without having reported it yet.
func evaluate(q *Request, runners []Runner, bounds *timeBudget, c *candidate) {
	promised := runners[c.decode].TightestGap
	pessimistic := predictWithUnreported(q, runners, c)
	c.cost = cost(q, runners, c)
	c.onTime = bounds.meets(&pessimistic, promised, gapMargin)
	c.safe = c.onTime && bounds.meets(&pessimistic, promised, safeGapMargin)
}

// predictWithUnreported returns the prediction of a candidate with the load that peers
// may have sent to its runners without having reported it yet.
func predictWithUnreported(q *Request, runners []Runner, c *candidate) Prediction {
	if runners[c.decode].UnreportedStreams == 0 {
		return c.predicted
	}
	d := runners[c.decode]
	d.addUnreportedLoad()
	if c.prefill == none {
		return Predict(q, &d)
	}
	p := runners[c.prefill]
	p.addUnreportedLoad()
	return predictPair(q, &p, &d)
}

// addUnreportedLoad adds the load that peers may have sent without having reported it
// yet.
func (r *Runner) addUnreportedLoad() {
	r.Running += r.UnreportedStreams
	r.addPrompt(r.UnreportedPrompt)
}

// bestPrefill returns the index of the prefill runner that would finish the prompt
// first, counting the prompts that peers may not have reported, or none. All candidate
// pairs use this one runner, so it has to be the most likely one to be on time. The
// unreported prompts contain a random fraction that differs between gateways (see
// addUnreported), so that they choose different runners when several look alike.
func bestPrefill(q *Request, runners []Runner) int {
	best, bestTime := none, math.Inf(1)
	for i := range runners {
		r := &runners[i]
		if !canPrefill(r) || !hasLoaded(q, r) || r.Leaving || r.Suspected || !notExcluded(q, r) {
			continue
		}
		uncached := float64(q.PromptTokens - cachedTokens(q, r))
		t := (r.QueuedPrefill + r.UnreportedPrompt + uncached) / r.prefillRate()
		if r.Zone != q.Zone {
			t += crossZonePenalty
		}
		if t < bestTime {
			best, bestTime = i, t
		}
	}
	return best
}

// crossZonePenalty, in seconds, keeps KV transfers within a zone unless that would be
// slower.
const crossZonePenalty = 0.1

// betterWithPair returns the better of two candidates. With alone, the decode runner
// computes the prompt itself. With the pair, a prefill runner computes it.
//
// At a runner whose role is RoleDecode, the candidate with the lower cost is better. At a
// runner whose role is RoleBoth, a candidate that is on time is better than one that is
// late; the cost decides only if both are on time or both are late. If the cost always
// decided there, requests would queue at the prefill runners until they are late: a pair has
// the lower cost, because its prompt doesn't stall the decode runner's streams. At a runner
// whose role is RoleDecode the cost decides nevertheless, since prompts take long there.
func betterWithPair(q *Request, runners []Runner, bounds *timeBudget, alone candidate, prefill int) candidate {
	pair := candidate{decode: alone.decode, prefill: prefill}
	pair.predicted = predictPair(q, &runners[prefill], &runners[alone.decode])
	evaluate(q, runners, bounds, &pair)
	byCost := isDecodeOnly(&runners[alone.decode]) || pair.onTime == alone.onTime
	if byCost && pair.cost < alone.cost {
		return pair
	}
	if !byCost && pair.onTime {
		return pair
	}
	return alone
}

// countRejections returns the number of runners that each filter rejected.
func countRejections(q *Request, runners []Runner) map[string]int {
	out := make(map[string]int)
	for i := range runners {
		if name := rejectedBy(q, &runners[i]); name != "" {
			out[name]++
		}
	}
	return out
}

// earliest returns the predicted wait until some runner could serve such a request on
// time, or Never.
func earliest(q *Request, runners []Runner, bounds *timeBudget) time.Duration {
	best := Never
	for i := range runners {
		r := &runners[i]
		if rejectedBy(q, r) != "" {
			continue
		}
		best = min(best, untilOnTime(q, r, bounds))
	}
	return best
}

// untilOnTime returns the predicted wait until one runner could serve a new request of
// this kind on time: until its queued prompts are drained and enough of its streams
// have ended. The new request has the whole latency objective left, since it has not
// waited yet. untilOnTime returns Never if the runner would be late even without load.
func untilOnTime(q *Request, r *Runner, bounds *timeBudget) time.Duration {
	idle := *r
	idle.clearLoad()
	full := *bounds
	if ms := q.OnTime.FirstTokenMS; ms > 0 {
		full.first = time.Duration(ms) * time.Millisecond
	}
	if ms := q.OnTime.TotalMS; ms > 0 {
		full.whole = time.Duration(ms) * time.Millisecond
	}
	p := Predict(q, &idle)
	if !full.meets(&p, r.TightestGap, gapMargin) {
		return Never
	}
	current := Predict(q, r)
	wait := time.Duration(0)
	if full.hasFirst {
		wait = max(wait, current.FirstToken-full.first)
	}
	if full.hasWhole {
		wait = max(wait, current.Total-full.whole)
	}
	if full.hasBetween && current.Between > full.between {
		wait = max(wait, seconds(r.drainTime(r.excessStreams(full.between.Seconds()))))
	}
	return max(wait, minEarliest)
}

// minEarliest is the shortest wait that is reported to a caller.
const minEarliest = 100 * time.Millisecond

// excessStreams returns how many streams have to end before one more can be added so that
// the time between two tokens is at most gap seconds.
func (r *Runner) excessStreams(gap float64) float64 {
	slope := r.stepSlope()
	if slope <= 0 {
		return 1
	}
	fit := 1 + (gap*(1-min(r.PrefillShare, maxPrefillShare))-r.stepTime(1))/slope
	return max(r.Running+1-fit, 1)
}

// Explain returns one line with the predictions and costs of every candidate and the
// filters that rejected the other runners.
func Explain(now time.Time, q Request, runners []Runner) string {
	bounds := remainingBudget(now, &q)
	var b strings.Builder
	for _, c := range appendCandidates(nil, &q, runners, &bounds) {
		fmt.Fprintf(&b, "%s cost=%.3fs first=%s between=%s cached=%d on_time=%t; ",
			runners[c.decode].Name, c.cost, c.predicted.FirstToken.Round(time.Millisecond),
			c.predicted.Between.Round(time.Microsecond*100), c.predicted.CachedTokens, c.onTime)
	}
	for i := range runners {
		if name := rejectedBy(&q, &runners[i]); name != "" {
			fmt.Fprintf(&b, "%s out=%s; ", runners[i].Name, name)
		}
	}
	return strings.TrimSuffix(b.String(), "; ")
}

// AddChoice adds a request that was just sent to the view, so that further choices on the
// same view count it. Peers are assumed to send the same.
func AddChoice(runners []Runner, q *Request, c *Choice) {
	uncached := float64(q.PromptTokens - c.Predicted.CachedTokens)
	for i := range runners {
		r := &runners[i]
		prefills := r.Name == c.Prefill || (r.Name == c.Runner && c.Prefill == "")
		if prefills {
			r.addPrompt(uncached * (1 + r.MirroredPeers))
		}
		if r.Name != c.Runner {
			continue
		}
		r.Running += 1 + r.MirroredPeers
		r.DecodeLeft += float64(q.ExpectedOut)
		r.KVUsed += float64(q.PromptTokens + q.ExpectedOut)
	}
}

// addPrompt adds prompt tokens to the runner's queue and to its prefill share.
func (r *Runner) addPrompt(tokens float64) {
	r.QueuedPrefill += tokens
	r.PrefillShare = min(r.PrefillShare+tokens/rateWindow.Seconds()/r.prefillRate(), maxPrefillShare)
}
