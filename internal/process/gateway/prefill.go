package gateway

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// prefill lets another runner compute the prompt's KV cache, which the decode
// runner then fetches itself; the cache never passes this gateway. Computing a
// prompt runs nothing for the caller, so any failure only means that the decode
// runner computes the prompt.
func (x *execution) prefill(ctx context.Context, at string, r *upstream.RunRequest) {
	if at == "" {
		return
	}
	engine, address, ok := x.engine(at)
	if !ok {
		return
	}
	if x.g.mayStillSend(at) != nil {
		x.why.add(time.Now(), "prefill runner %s leaves by now, the decode runner computes the prompt", at)
		x.g.metrics.prefillFallbacks.Inc(1)
		return
	}
	ask := *r
	ask.Incarnation = "" // the decode runner's
	handle, err := engine.Prefill(ctx, ask)
	now := time.Now()
	if err != nil {
		x.why.add(now, "prefill at %s failed, the decode runner computes the prompt: %v", at, err)
		x.g.metrics.prefillFallbacks.Inc(1)
		x.g.upstreamFailed(at, err)
		return
	}
	x.why.add(now, "prompt computed at %s", at)
	r.KVFrom = address
	r.KVHandle = handle
}
