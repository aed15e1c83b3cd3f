package admit

import (
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
)

// queued is a request in the queue.
type queued struct {
	request     route.Request
	due         time.Time // when its first token is due, or its complete answer if only that has a limit
	latestStart time.Time // latest admission at which it can still be on time
}

// queue holds waiting requests in order: higher priority first, then earlier due time,
// then earlier arrival.
type queue struct {
	items []queued
}

func (q *queue) len() int { return len(q.items) }

// tokensOf returns the tokens, prompt plus expected output, that a request adds to the
// total that Config.QueueTokens limits.
func tokensOf(r *route.Request) int { return r.PromptTokens + r.ExpectedOut }

// before reports whether a is ahead of b in the queue.
func before(a, b *queued) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return !b.request.Arrived.Before(a.request.Arrived)
}

// precededBy reports whether a request of r's priority or a higher one is waiting.
func (q *queue) precededBy(r *route.Request) bool {
	return len(q.items) > 0 && q.items[0].request.Priority >= r.Priority
}

// position returns the number of waiting requests ahead of w.
func (q *queue) position(w *queued) int {
	for i := range q.items {
		if !before(&q.items[i], w) {
			return i
		}
	}
	return len(q.items)
}

func (q *queue) add(w queued) { q.items = slices.Insert(q.items, q.position(&w), w) }

// find returns the index of the request with the given id, or -1.
func (q *queue) find(id string) int {
	return slices.IndexFunc(q.items, func(w queued) bool { return w.request.ID == id })
}

func (q *queue) removeAt(i int) { q.items = slices.Delete(q.items, i, i+1) }
