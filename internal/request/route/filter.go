package route

import (
	"slices"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Filter names, the keys of Choice.Rejected.
const (
	FilterLeaving   = "leaving"
	FilterSuspected = "suspected"
	FilterExcluded  = "excluded"
	FilterLoaded    = "loaded"
	FilterRole      = "role"
	FilterMemory    = "memory"
)

// rejectedBy returns the name of the first filter that rejects the runner, or "" if
// none does. The calls are direct, not through a table, so that nothing escapes to the
// heap.
func rejectedBy(q *Request, r *Runner) string {
	switch {
	case !hasLoaded(q, r):
		return FilterLoaded
	case r.Leaving:
		return FilterLeaving
	case r.Suspected:
		return FilterSuspected
	case !notExcluded(q, r):
		return FilterExcluded
	case !canDecode(r):
		return FilterRole
	case !hasMemory(q, r):
		return FilterMemory
	}
	return ""
}

// notExcluded rejects runners that were tried before.
func notExcluded(q *Request, r *Runner) bool { return !slices.Contains(q.Excluded, r.Name) }

// hasLoaded requires the model, the version if one was chosen, and the adapter if one
// was requested.
func hasLoaded(q *Request, r *Runner) bool {
	for i := range r.Loaded {
		l := &r.Loaded[i]
		if l.Model != q.Model {
			continue
		}
		if q.Version != "" && l.Version != q.Version {
			continue
		}
		if q.Adapter != "" && !slices.Contains(l.Adapters, q.Adapter) {
			continue
		}
		return true
	}
	return false
}

// canDecode rejects prefill-only runners: the answer comes from a decoding runner.
func canDecode(r *Runner) bool { return r.Role != upstream.RolePrefill }

// canPrefill is the role filter of the prefill runner of a pair.
func canPrefill(r *Runner) bool { return r.Role == upstream.RolePrefill }

// hasMemory requires that the KV cache of the whole request, prompt and answer, fits into
// the runner's total memory. Memory in use doesn't matter here: the wait until it is free
// is part of the predicted time.
func hasMemory(q *Request, r *Runner) bool {
	return r.KVTotal <= 0 || float64(q.PromptTokens+q.ExpectedOut) <= r.KVTotal
}
