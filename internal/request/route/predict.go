package route

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Assumed rates of engines that neither declare nor report any.
const (
	defaultPrefillRate = 8000.0 // prompt tokens per second
	defaultDecodeRate  = 1500.0 // output tokens per second, full batch
	defaultStreamRate  = 80.0   // output tokens per second, single stream
	defaultMaxBatch    = 64
	defaultKVRate      = 200000.0 // prompt tokens of KV cache per second between engines
)

// maxPrefillShare bounds the fraction of engine time that prefill is assumed to take
// from decoding.
const maxPrefillShare = 0.9

// seconds converts a number of seconds to a duration. It caps the number at 1<<30, so that
// the duration does not overflow.
func seconds(s float64) time.Duration {
	const longest = 1 << 30 // seconds
	return time.Duration(min(s, longest) * float64(time.Second))
}

// orDefault returns v if it is positive, else d.
func orDefault(v, d float64) float64 {
	if v > 0 {
		return v
	}
	return d
}

// prefillRate returns the runner's prefill rate in tokens per second, else the rate that
// its engine class declares, else the default.
func (r *Runner) prefillRate() float64 {
	return orDefault(r.PrefillRate, orDefault(r.Engine.PrefillRate, defaultPrefillRate))
}

// maxBatch returns the maximum number of streams that the engine decodes together.
func (r *Runner) maxBatch() float64 {
	if r.Engine.MaxBatch > 0 {
		return float64(r.Engine.MaxBatch)
	}
	return defaultMaxBatch
}

// stepTime returns the predicted time in seconds of one decode step with n streams. It
// grows linearly from a single stream to a full batch and beyond.
func (r *Runner) stepTime(n float64) float64 {
	single := 1 / orDefault(r.Engine.StreamRate, defaultStreamRate)
	return single + r.stepSlope()*max(n-1, 0)
}

// stepSlope returns the time in seconds that each further stream adds to a decode
// step.
func (r *Runner) stepSlope() float64 {
	batch := r.maxBatch()
	if batch <= 1 {
		return 0
	}
	single := 1 / orDefault(r.Engine.StreamRate, defaultStreamRate)
	full := batch / orDefault(r.DecodeRate, orDefault(r.Engine.DecodeRate, defaultDecodeRate))
	return max(full-single, 0) / (batch - 1)
}

// Prompt tokens that an engine is assumed to compute per step beside running streams.
// A decode engine computes fewer, to keep the gap between tokens short.
const (
	promptChunkBoth   = 512
	promptChunkDecode = 96
)

// promptRate returns the rate in tokens per second at which prompts are computed
// beside the running streams.
func (r *Runner) promptRate() float64 {
	if r.Role == upstream.RolePrefill || r.Running < 1 {
		return r.prefillRate()
	}
	chunk := float64(promptChunkBoth)
	if r.Role == upstream.RoleDecode {
		chunk = promptChunkDecode
	}
	return chunk / (r.stepTime(r.Running) + chunk/r.prefillRate())
}

// tokenGap returns the predicted mean time in seconds between tokens with n streams,
// while prompts take their recent share of the engine's time.
func (r *Runner) tokenGap(n float64) float64 {
	return r.stepTime(n) / (1 - min(r.PrefillShare, maxPrefillShare))
}

// slotWait returns the predicted time in seconds until a batch slot and kv tokens of
// memory for the request's KV cache are free.
func (r *Runner) slotWait(kv float64) float64 {
	excess := r.Running + 1 - r.maxBatch()
	if r.KVTotal > 0 && r.Running > 0 {
		perStream := r.KVUsed / r.Running
		shortfall := r.KVUsed + kv - r.KVTotal
		if perStream > 0 {
			excess = max(excess, shortfall/perStream)
		}
	}
	return r.drainTime(excess)
}

// drainTime returns the predicted time in seconds until the given number of running
// streams has ended.
func (r *Runner) drainTime(streams float64) float64 {
	if streams <= 0 || r.Running <= 0 {
		return 0
	}
	meanLeft := r.DecodeLeft / r.Running
	// Remaining lengths are assumed to be uniform between 0 and twice the mean.
	fraction := min(streams/r.Running, 1)
	return 2 * meanLeft * fraction * r.tokenGap(r.Running)
}

// cachedTokens returns the number of prompt tokens believed to be cached at the
// runner. At least one token is always computed.
func cachedTokens(q *Request, r *Runner) int {
	if r.CachedPrefix == nil || len(q.PrefixHashes) == 0 {
		return 0
	}
	return max(min(r.CachedPrefix(q.PrefixHashes)*BlockTokens, q.PromptTokens-1), 0)
}

// Predict returns the predicted latencies of a request that prefills and decodes at one
// runner.
func Predict(q *Request, r *Runner) Prediction {
	cached := cachedTokens(q, r)
	uncached := float64(q.PromptTokens - cached)
	prefill := (r.QueuedPrefill + uncached) / r.promptRate()
	wait := r.slotWait(float64(q.PromptTokens + q.ExpectedOut))
	gap := r.tokenGap(r.Running + 1)
	return newPrediction(q, prefill+wait+r.stepTime(r.Running+1), gap, cached)
}

// predictPair returns the predicted latencies of a request at a pair of runners: p computes
// the prompt, and its KV cache is then transferred to d, which decodes.
func predictPair(q *Request, p, d *Runner) Prediction {
	cached := cachedTokens(q, p)
	uncached := float64(q.PromptTokens - cached)
	prefill := (p.QueuedPrefill + uncached) / p.prefillRate()
	transfer := float64(q.PromptTokens) / transferRate(p, d)
	wait := d.slotWait(float64(q.PromptTokens + q.ExpectedOut))
	first := max(prefill+transfer, wait) + d.stepTime(d.Running+1)
	return newPrediction(q, first, d.tokenGap(d.Running+1), cached)
}

// transferRate returns the KV transfer rate from p to d in tokens per second: the
// lower rate of the two.
func transferRate(p, d *Runner) float64 {
	return min(orDefault(p.Engine.KVTransferRate, defaultKVRate), orDefault(d.Engine.KVTransferRate, defaultKVRate))
}

// newPrediction returns the prediction of an answer whose first token comes after
// first seconds and the others at the given gap in seconds.
func newPrediction(q *Request, first, gap float64, cached int) Prediction {
	rest := gap * float64(max(q.ExpectedOut-1, 0))
	return Prediction{
		FirstToken:   seconds(first),
		Between:      seconds(gap),
		Total:        seconds(first + rest),
		CachedTokens: cached,
	}
}

// timeBudget is what remains of a request's time bounds at one moment: until its first
// token, between two tokens, and until the end of the whole answer.
type timeBudget struct {
	first, between, whole          time.Duration
	hasFirst, hasBetween, hasWhole bool
}

// remainingBudget returns what remains of a request's time bounds at now.
func remainingBudget(now time.Time, q *Request) timeBudget {
	var b timeBudget
	waited := time.Duration(0)
	if !q.Arrived.IsZero() {
		waited = max(now.Sub(q.Arrived), 0)
	}
	if ms := q.OnTime.FirstTokenMS; ms > 0 {
		b.first, b.hasFirst = time.Duration(ms)*time.Millisecond-waited, true
	}
	if ms := q.OnTime.InterTokenMS; ms > 0 {
		b.between, b.hasBetween = time.Duration(ms)*time.Millisecond, true
	}
	if ms := q.OnTime.TotalMS; ms > 0 {
		b.whole, b.hasWhole = time.Duration(ms)*time.Millisecond-waited, true
	}
	if !q.Deadline.IsZero() {
		until := q.Deadline.Sub(now)
		if !b.hasWhole || until < b.whole {
			b.whole, b.hasWhole = until, true
		}
	}
	return b
}

// Safety margins: a prediction may reach at most these fractions of the time bounds. The
// rest covers what a prediction cannot know: the lengths of answers, and what other gateways
// sent without having reported it yet.
const (
	firstTokenMargin = 0.8
	gapMargin        = 0.88
	safeGapMargin    = 0.8 // stricter margin for the gap: if no runner in the gateway's zone meets it, runners in other zones are considered
	wholeMargin      = 0.9
)

func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// meets reports whether a prediction is within the bounds, and within the gap promised
// to the streams already at the runner (0: none). margin applies to both gaps.
func (b *timeBudget) meets(p *Prediction, tightestGap time.Duration, margin float64) bool {
	if b.hasFirst && p.FirstToken > scaled(b.first, firstTokenMargin) {
		return false
	}
	if b.hasBetween && p.Between > scaled(b.between, margin) {
		return false
	}
	if tightestGap > 0 && p.Between > scaled(tightestGap, margin) {
		return false
	}
	return !b.hasWhole || p.Total <= scaled(b.whole, wholeMargin)
}

// isDecodeOnly reports whether a runner normally receives the KV cache of its prompts
// from prefill runners.
func isDecodeOnly(r *Runner) bool { return r.Role == upstream.RoleDecode }

// PredictIdle returns the latencies that a request would have at the runner if the runner
// had no load. It returns false if a filter rejects the runner.
func PredictIdle(q *Request, r *Runner) (Prediction, bool) {
	if rejectedBy(q, r) != "" {
		return Prediction{}, false
	}
	idle := *r
	idle.clearLoad()
	return Predict(q, &idle), true
}

// clearLoad removes all load from a runner's view.
func (r *Runner) clearLoad() {
	r.QueuedPrefill, r.Running, r.DecodeLeft, r.KVUsed, r.PrefillShare = 0, 0, 0, 0, 0
}

// ResponseDeadline returns the time by which a request needs its first token, or its
// whole answer if that is due earlier or is the only bound. It returns false if neither
// is bounded.
func ResponseDeadline(now time.Time, q *Request) (time.Time, bool) {
	b := remainingBudget(now, q)
	switch {
	case b.hasFirst && b.hasWhole:
		return now.Add(min(b.first, b.whole)), true
	case b.hasFirst:
		return now.Add(b.first), true
	case b.hasWhole:
		return now.Add(b.whole), true
	}
	return time.Time{}, false
}

// LatestStart returns the latest time at which the request could start at the runner, if
// the runner had no load, and still be predicted to be on time. It returns false if a filter
// rejects the runner, or if neither the first token nor the whole answer has a time bound.
func LatestStart(now time.Time, q *Request, r *Runner) (time.Time, bool) {
	p, ok := PredictIdle(q, r)
	b := remainingBudget(now, q)
	if !ok || !(b.hasFirst || b.hasWhole) {
		return time.Time{}, false
	}
	wait := Never
	if b.hasFirst {
		wait = min(wait, b.first-scaled(p.FirstToken, 1/firstTokenMargin))
	}
	if b.hasWhole {
		wait = min(wait, b.whole-scaled(p.Total, 1/wholeMargin))
	}
	return now.Add(wait), true
}
