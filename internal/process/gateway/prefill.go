package gateway

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// prefill lets another runner compute the KV cache of the prompt and sets in r from where the decode runner
// fetches it; the cache doesn't pass through the gateway. An empty runner means no prefill. A prefill
// produces no output for the caller, so after any failure r stays unchanged and the decode runner computes
// the prompt itself.
func (x *execution) prefill(ctx context.Context, runner string, r *upstream.RunRequest) {
	if runner == "" {
		return
	}
	engine, address, ok := x.engine(runner)
	if !ok {
		return
	}
	if x.g.checkNotLeaving(runner) != nil {
		x.explain.add(time.Now(), "prefill runner %s leaves by now, the decode runner computes the prompt", runner)
		x.g.metrics.prefillFallbacks.Inc(1)
		return
	}
	prefillRequest := *r
	prefillRequest.Incarnation = "" // r.Incarnation is that of the decode runner
	handle, err := engine.Prefill(ctx, prefillRequest)
	now := time.Now()
	if err != nil {
		x.explain.add(now, "prefill at %s failed, the decode runner computes the prompt: %v", runner, err)
		x.g.metrics.prefillFallbacks.Inc(1)
		x.g.upstreamFailed(runner, err)
		return
	}
	x.explain.add(now, "prompt computed at %s", runner)
	r.KVFrom = address
	r.KVHandle = handle
}
