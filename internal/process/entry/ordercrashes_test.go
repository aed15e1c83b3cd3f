package entry

import (
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/roles"
)

// orderedFleet is a list of engines that get orders, and the tracker of these orders under test.
type orderedFleet struct {
	orders  *orderCrashes
	now     time.Time
	list    map[fleet.Incarnation]fleet.Upstream
	leaving map[fleet.Incarnation]bool
	lapsed  map[fleet.Incarnation]bool // unlisted, but not seen to end
}

// newOrderedFleet returns a fleet of decoding engines.
func newOrderedFleet(ids ...string) *orderedFleet {
	f := &orderedFleet{orders: newOrderCrashes(), now: time.Unix(1_000_000, 0), list: make(map[fleet.Incarnation]fleet.Upstream), leaving: make(map[fleet.Incarnation]bool), lapsed: make(map[fleet.Incarnation]bool)}
	for _, id := range ids {
		f.list[fleet.Incarnation(id)] = fleet.Upstream{ID: id, Service: "s", Role: upstream.RoleDecode}
	}
	return f
}

func (f *orderedFleet) status(incarnation fleet.Incarnation) incarnationStatus {
	_, listed := f.list[incarnation]
	return incarnationStatus{listed: listed, leaving: f.leaving[incarnation], ended: !listed && !f.lapsed[incarnation]}
}

// sendOrder records an order to an engine to prefill, calls outcome, and updates the tracker two seconds
// later.
func (f *orderedFleet) sendOrder(id string, outcome func()) {
	u := f.list[fleet.Incarnation(id)]
	f.orders.recordOrder(f.now, &u, upstream.RolePrefill)
	outcome()
	f.now = f.now.Add(2 * time.Second)
	engines := make(map[string][]fleet.Upstream)
	for _, u := range f.list {
		engines[u.Service] = append(engines[u.Service], u)
	}
	f.orders.update(f.now, engines, f.status)
}

// endEngine returns an outcome in which an engine ends.
func (f *orderedFleet) endEngine(id string) func() {
	return func() { delete(f.list, fleet.Incarnation(id)) }
}

// changeRole returns an outcome in which an engine changes its role.
func (f *orderedFleet) changeRole(id string) func() {
	return func() {
		u := f.list[fleet.Incarnation(id)]
		u.Role = upstream.RolePrefill
		f.list[fleet.Incarnation(id)] = u
	}
}

// allowedCount returns how many changes of a round of three may be ordered.
func (f *orderedFleet) allowedCount(to upstream.Role) int {
	return len(f.orders.allowedChanges(f.now, "s", []roles.Change{{ID: "x", To: to}, {ID: "y", To: to}, {ID: "z", To: to}}))
}

// TestOrdersThatCrashEnginesAreHeld checks that after an engine has ended following an order, only one order
// of that kind is allowed at a time, and none after two engines have ended. Orders of another kind are
// allowed.
func TestOrdersThatCrashEnginesAreHeld(t *testing.T) {
	f := newOrderedFleet("a", "b")
	if n := f.allowedCount(upstream.RolePrefill); n != 3 {
		t.Errorf("%d of 3 allowed at first", n)
	}
	f.sendOrder("a", f.endEngine("a"))
	if n := f.allowedCount(upstream.RolePrefill); n != 1 {
		t.Errorf("%d of 3 allowed after one engine ended, want 1", n)
	}
	f.sendOrder("b", f.endEngine("b"))
	if n := f.allowedCount(upstream.RolePrefill); n != 0 {
		t.Errorf("%d of 3 allowed after two engines ended", n)
	}
	if n := f.allowedCount(upstream.RoleDecode); n != 3 {
		t.Errorf("%d of 3 orders of another kind allowed", n)
	}
}

// TestSuccessfulOrdersAreNotHeld checks that orders of a kind aren't held because two engines ended
// following such orders, if an order of that kind succeeded between the two.
func TestSuccessfulOrdersAreNotHeld(t *testing.T) {
	for name, second := range map[string]func(f *orderedFleet){
		"the next one is carried out": func(f *orderedFleet) { f.sendOrder("b", f.changeRole("b")) },
		"the next engine leaves": func(f *orderedFleet) {
			f.sendOrder("b", func() { f.leaving["b"] = true })
			f.sendOrder("c", f.changeRole("c"))
		},
	} {
		f := newOrderedFleet("a", "b", "c", "d")
		f.sendOrder("a", f.endEngine("a"))
		second(f)
		f.sendOrder("d", f.endEngine("d"))
		if n := f.allowedCount(upstream.RolePrefill); n != 1 {
			t.Errorf("%s: %d of 3 allowed, want 1: only one end counts", name, n)
		}
	}
}

// TestEngineThatEndsLongAfterItsOrderIsIgnored checks that the end of an engine isn't attributed to an order
// that was sent a minute before.
func TestEngineThatEndsLongAfterItsOrderIsIgnored(t *testing.T) {
	f := newOrderedFleet("a")
	f.sendOrder("a", func() {})
	f.now = f.now.Add(time.Minute)
	f.endEngine("a")()
	f.orders.update(f.now, nil, f.status)
	if n := f.allowedCount(upstream.RolePrefill); n != 3 {
		t.Errorf("%d of 3 allowed", n)
	}
}

// TestEngineThatLapsedIsNoCrashOfItsOrder guards against orders that are held although no engine ended: the entries of
// engines lapsed in an outage of the platform after they were ordered.
func TestEngineThatLapsedIsNoCrashOfItsOrder(t *testing.T) {
	f := newOrderedFleet("a", "b", "c")
	for _, id := range []string{"a", "b"} {
		f.lapsed[fleet.Incarnation(id)] = true
		f.sendOrder(id, f.endEngine(id))
	}
	if n := f.allowedCount(upstream.RolePrefill); n != 3 || len(f.orders.outstanding) != 0 {
		t.Errorf("%d of 3 allowed, %d orders outstanding", n, len(f.orders.outstanding))
	}
}
