package route

import (
	"slices"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Filter names, as they appear in Choice.Rejected.
const (
	FilterLeaving   = "leaving"
	FilterSuspected = "suspected"
	FilterExcluded  = "excluded"
	FilterLoaded    = "loaded"
	FilterRole      = "role"
	FilterMemory    = "memory"
)

// filter takes out runners that must not, or cannot, serve a request.
type filter struct {
	name  string
	admit func(q *Request, r *Runner) bool
}

// filters run in this order; the first that refuses is the one that is reported.
var filters = []filter{
	{FilterLoaded, hasLoaded},
	{FilterLeaving, notLeaving},
	{FilterSuspected, notSuspected},
	{FilterExcluded, notExcluded},
	{FilterRole, canDecode},
	{FilterMemory, hasMemory},
}

// refusedBy names the first filter that refuses the runner; empty: none does.
func refusedBy(q *Request, r *Runner) string {
	for i := range filters {
		if !filters[i].admit(q, r) {
			return filters[i].name
		}
	}
	return ""
}

func notLeaving(_ *Request, r *Runner) bool { return !r.Leaving }

func notSuspected(_ *Request, r *Runner) bool { return !r.Suspected }

func notExcluded(q *Request, r *Runner) bool { return !slices.Contains(q.Excluded, r.Name) }

// hasLoaded wants the model, the version if one was chosen, and the adapter if one is asked for.
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

// canDecode takes out runners that only prefill: the answer comes from a decoding runner.
func canDecode(_ *Request, r *Runner) bool { return r.Role != upstream.RolePrefill }

// canPrefill is the role filter of the first half of a pair.
func canPrefill(_ *Request, r *Runner) bool { return r.Role == upstream.RolePrefill }

// hasMemory wants room for the whole request's KV cache at all, not at this
// moment: waiting for memory is part of the predicted time.
func hasMemory(q *Request, r *Runner) bool {
	return r.KVTotal <= 0 || float64(q.PromptTokens+q.ExpectedOut) <= r.KVTotal
}
