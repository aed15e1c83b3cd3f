package admit

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
)

// Config bounds the queue.
type Config struct {
	QueueRequests int // most requests waiting; 0: none wait
	QueueTokens   int // most tokens (prompt plus expected output) waiting
}

// Action tells the outcome of a request: exactly one of Choice and Err is set.
// A request without an action waits in the queue.
type Action struct {
	ID     string
	Choice *route.Choice
	Err    *errkind.Error
}

// Core decides when requests go. Not safe for concurrent use.
//
// Invariants: a request is admitted only if it is predicted on time at the chosen
// runner. A request that can no longer be on time is refused at once, with the
// time after which to come back; it is never held. Every refusal is truly not-run.
type Core struct {
	config Config
	queue  queue
}

// New makes a core.
func New(config Config) *Core { return &Core{config: config} }

// Queued gives the number of waiting requests and their tokens.
func (c *Core) Queued() (requests, tokens int) { return c.queue.len(), c.queue.tokens }

// Arrive takes in a request. runners is the view of the runners of its model;
// what is admitted is added to it.
func (c *Core) Arrive(now time.Time, q route.Request, runners []route.Runner) []Action {
	choice := route.Route(now, q, runners)
	if choice.OnTime {
		route.Assume(runners, &q, &choice)
		return []Action{{ID: q.ID, Choice: &choice}}
	}
	return []Action{{ID: q.ID, Err: refusal(&choice)}}
}

// Tick decides on the waiting requests again. It is called when load changes
// and at least every TickEvery while requests wait.
func (c *Core) Tick(now time.Time, runners []route.Runner) []Action { return nil }

// Leave takes a waiting request out, when its caller has gone.
func (c *Core) Leave(_ time.Time, id string) { c.queue.remove(id) }

// TickEvery is the longest time between two calls of Tick while requests wait.
const TickEvery = 20 * time.Millisecond
