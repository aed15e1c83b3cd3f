package admit

import (
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
)

// waiting is a request in the queue.
type waiting struct {
	request route.Request
	start   time.Time // latest start at which it can still be on time
}

// queue orders waiting requests: higher priority first, then the earliest latest
// start, then the earlier arrival.
type queue struct {
	items  []waiting
	tokens int
}

func (q *queue) len() int { return len(q.items) }

func tokensOf(r *route.Request) int { return r.PromptTokens + r.ExpectedOut }

// before is the order of the queue.
func before(a, b *waiting) int {
	if a.request.Priority != b.request.Priority {
		return b.request.Priority - a.request.Priority
	}
	if c := a.start.Compare(b.start); c != 0 {
		return c
	}
	return a.request.Arrived.Compare(b.request.Arrived)
}

func (q *queue) add(w waiting) {
	i, _ := slices.BinarySearchFunc(q.items, w, func(a, b waiting) int {
		if before(&a, &b) > 0 {
			return 1
		}
		return -1 // equal ones keep their order of arrival
	})
	q.items = slices.Insert(q.items, i, w)
	q.tokens += tokensOf(&w.request)
}

func (q *queue) remove(id string) bool {
	i := slices.IndexFunc(q.items, func(w waiting) bool { return w.request.ID == id })
	if i < 0 {
		return false
	}
	q.tokens -= tokensOf(&q.items[i].request)
	q.items = slices.Delete(q.items, i, i+1)
	return true
}
