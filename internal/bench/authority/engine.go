package authority

import (
	"fmt"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Execution is one order that an engine began.
type Execution struct {
	At    time.Duration
	Order upstream.Order
	Late  time.Duration // how long after the sender's last check it arrived
	// Unslotted tells that the order did not stand in the runner's open slot when
	// the engine began it: another order has been decided on since.
	Unslotted bool
	Sender    string
}

// Engine is the fake of an engine. It is as forgetful as an engine may be: only the
// last order that this incarnation accepted is recognised when it comes again.
type Engine struct {
	Name       string
	Role       upstream.Role
	Wanted     upstream.Role
	Executions []Execution
	Crashes    int

	world   *World
	fence   uint64
	last    string
	status  upstream.OrderStatus
	running string
}

func newEngine(w *World, name string) *Engine {
	return &Engine{Name: name, Role: upstream.RoleBoth, Wanted: upstream.RoleBoth, world: w}
}

// Crash restarts the engine: it forgets its orders and comes back with the role
// that it starts with.
func (e *Engine) Crash() {
	e.Crashes++
	e.last, e.status, e.running = "", upstream.OrderNone, ""
	e.Role = upstream.RoleBoth
	if e.world.Options.ForgetsFence {
		e.fence = 0
	}
}

func (e *Engine) state() upstream.State {
	s := upstream.State{
		Runner: e.Name, Incarnation: fmt.Sprint(e.Crashes), Role: e.Role,
		OrderID: e.last, OrderStatus: e.status,
	}
	if e.world.Options.ChecksFencing {
		s.Fence = e.fence
	}
	return s
}

// order takes an order in and gives what is answered.
func (e *Engine) order(o upstream.Order, sender string, checked time.Duration) (upstream.State, error) {
	if e.world.Options.ChecksFencing && o.Fence < e.fence {
		return upstream.State{}, upstream.ErrStaleFence
	}
	if e.last == o.ID {
		e.fence = max(e.fence, o.Fence)
		return e.state(), nil
	}
	if e.running != "" {
		return upstream.State{}, upstream.ErrBusy
	}
	e.begin(o, sender, checked)
	return e.state(), nil
}

func (e *Engine) begin(o upstream.Order, sender string, checked time.Duration) {
	w := e.world
	e.Executions = append(e.Executions, Execution{
		At: w.now, Order: o, Late: w.now - checked, Sender: sender,
		Unslotted: w.Store.openOrder(e.Name) != o.ID,
	})
	e.fence = max(e.fence, o.Fence)
	e.last, e.status, e.running = o.ID, upstream.OrderRunning, o.ID
	life := e.Crashes
	if w.chance(w.Faults.CrashIn) {
		w.After(w.upTo(w.Options.RoleChange), func() { e.crashIn(life) })
	}
	w.After(w.Options.RoleChange, func() { e.finish(o, life) })
}

func (e *Engine) crashIn(life int) {
	if e.Crashes == life {
		e.Crash()
	}
}

func (e *Engine) finish(o upstream.Order, life int) {
	if e.Crashes != life {
		return
	}
	e.Role, e.status, e.running = o.Role, upstream.OrderDone, ""
}
