package admit

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/route"
)

// Config limits the queue of all models together.
type Config struct {
	QueueRequests int // maximum number of waiting requests; 0: none may wait
	QueueTokens   int // maximum tokens (prompt plus expected output) of waiting requests
}

// Action is the outcome of a request: exactly one of Choice and Err is set. A
// request without an action waits in the queue.
type Action struct {
	ID     string
	Choice *route.Choice
	Err    *errkind.Error
}

// Core decides which requests are admitted, and when. It is not safe for concurrent use.
//
// Invariants:
//   - A request is admitted only if it is predicted to be on time at the chosen runner.
//   - A request that is predicted to be admitted too late is refused at once, with a
//     retry-after time.
//   - Refused requests did not run.
//   - Requests of one model are admitted in the order of the queue: no request overtakes
//     one of higher priority, or one of the same priority that is due earlier.
type Core struct {
	config Config
	models map[string]*model
	tokens int // of the waiting requests of all models
	count  int // of the waiting requests of all models
}

// model is the state of one model.
type model struct {
	queue      queue
	throughput throughput
	saturation saturation
}

// New returns a core with an empty queue.
func New(config Config) *Core {
	return &Core{config: config, models: make(map[string]*model)}
}

// TickInterval is the maximum time between two calls of Tick while requests wait.
const TickInterval = 20 * time.Millisecond

// Queued returns the number of waiting requests and their tokens.
func (c *Core) Queued() (requests, tokens int) { return c.count, c.tokens }

// Saturated reports whether more than half of the recent tries to admit requests of a model
// found no runner that would be on time.
func (c *Core) Saturated(now time.Time, name string) bool {
	m, ok := c.models[name]
	return ok && m.saturation.active(now)
}

// Arrive admits, queues or refuses a new request. runners is the view of the runners of its
// model; the load of an admitted request is added to it. The actions may concern other
// requests too.
func (c *Core) Arrive(now time.Time, q route.Request, runners []route.Runner) []Action {
	m := c.model(q.Model)
	if m.queue.precededBy(&q) {
		m.saturation.observe(now, false)
	} else {
		choice := route.Route(now, q, runners)
		m.saturation.observe(now, choice.OnTime)
		if choice.OnTime {
			return []Action{m.admit(now, &q, choice, runners)}
		}
		if !mayWait(&choice) {
			return []Action{{ID: q.ID, Err: unservableError(&q, &choice)}}
		}
	}
	return c.enqueue(now, m, q, runners)
}

// model returns the state of a model and creates it if needed.
func (c *Core) model(name string) *model {
	m, ok := c.models[name]
	if !ok {
		m = &model{}
		c.models[name] = m
	}
	return m
}

// mayWait reports whether a request that would be late now could be on time later.
func mayWait(choice *route.Choice) bool {
	return choice.Runner != "" && choice.EarliestOnTime != route.Never
}

// enqueue queues a request if it is predicted to be admitted in time and the limits allow
// it, and refuses it otherwise.
func (c *Core) enqueue(now time.Time, m *model, q route.Request, runners []route.Runner) []Action {
	w := newQueued(now, q, runners)
	ahead := m.queue.position(&w)
	if wait := m.throughput.wait(now, ahead); now.Add(wait).After(w.latestStart) {
		return []Action{{ID: q.ID, Err: lateError(&q, wait)}}
	}
	actions, ok := c.makeRoom(m, &w)
	if !ok {
		return []Action{{ID: q.ID, Err: overloadedError(&q, m.throughput.wait(now, ahead))}}
	}
	m.queue.add(w)
	c.count++
	c.tokens += tokensOf(&q)
	return actions
}

// makeRoom refuses waiting requests of the same model with lower priority than w, last
// first, until w fits within the limits. If that isn't possible it changes nothing and
// returns false.
func (c *Core) makeRoom(m *model, w *queued) ([]Action, bool) {
	need := tokensOf(&w.request)
	count, tokens, drop := c.count, c.tokens, 0
	for count+1 > c.config.QueueRequests || tokens+need > c.config.QueueTokens {
		i := m.queue.len() - 1 - drop
		if i < 0 || m.queue.items[i].request.Priority >= w.request.Priority {
			return nil, false
		}
		count--
		tokens -= tokensOf(&m.queue.items[i].request)
		drop++
	}
	var actions []Action
	for range drop {
		last := &m.queue.items[m.queue.len()-1].request
		actions = append(actions, Action{ID: last.ID, Err: overloadedError(last, minRetryAfter)})
		c.remove(m, m.queue.len()-1)
	}
	return actions, true
}

// remove removes item i from a model's queue.
func (c *Core) remove(m *model, i int) {
	c.count--
	c.tokens -= tokensOf(&m.queue.items[i].request)
	m.queue.removeAt(i)
}

// Remove removes a waiting request whose caller has gone.
func (c *Core) Remove(_ time.Time, id string) {
	for _, m := range c.models {
		if i := m.queue.find(id); i >= 0 {
			c.remove(m, i)
			return
		}
	}
}

// Waiting returns the models with waiting requests, in no particular order.
func (c *Core) Waiting() []string {
	var names []string
	for name, m := range c.models {
		if m.queue.len() > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Tick admits or refuses waiting requests, as the load and the time now require. runners is
// the view of the runners of all models; the load of admitted requests is added to it. Tick
// must be called when the load changes, and at least every TickInterval while requests wait.
func (c *Core) Tick(now time.Time, runners []route.Runner) []Action {
	var actions []Action
	for _, name := range c.Waiting() {
		actions = append(actions, c.TickModel(now, name, runners)...)
	}
	return actions
}

// TickModel is like Tick for the requests of one model; runners is the view of its runners.
func (c *Core) TickModel(now time.Time, name string, runners []route.Runner) []Action {
	m, ok := c.models[name]
	if !ok {
		return nil
	}
	actions := c.dispatch(now, m, runners)
	return append(actions, c.refuseLate(now, m)...)
}

// dispatch admits requests from the front of the queue until a request must wait because
// no runner would be on time. A request that could not be on time later either is refused
// on the way.
func (c *Core) dispatch(now time.Time, m *model, runners []route.Runner) []Action {
	var actions []Action
	for m.queue.len() > 0 {
		q := m.queue.items[0].request
		choice := route.Route(now, q, runners)
		m.saturation.observe(now, choice.OnTime)
		switch {
		case choice.OnTime:
			actions = append(actions, m.admit(now, &q, choice, runners))
		case !mayWait(&choice):
			actions = append(actions, Action{ID: q.ID, Err: unservableError(&q, &choice)})
		default:
			return actions
		}
		c.remove(m, 0)
	}
	return actions
}

// refuseLate refuses every waiting request that is predicted to be admitted too late.
func (c *Core) refuseLate(now time.Time, m *model) []Action {
	var actions []Action
	ahead := 0
	for ahead < m.queue.len() {
		w := &m.queue.items[ahead]
		wait := m.throughput.wait(now, ahead)
		if !now.Add(wait).After(w.latestStart) {
			ahead++
			continue
		}
		actions = append(actions, Action{ID: w.request.ID, Err: lateError(&w.request, wait)})
		c.remove(m, ahead)
	}
	return actions
}

// admit records an admission and adds its load to runners.
func (m *model) admit(now time.Time, q *route.Request, choice route.Choice, runners []route.Runner) Action {
	route.AddChoice(runners, q, &choice)
	m.throughput.recordAdmission(now)
	return Action{ID: q.ID, Choice: &choice}
}
