package command

import (
	"fmt"
	"strings"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// statusCommand implements "status": it shows the daemons, as their operators' ports
// report them, and the objects at the platform. It shows either part even if the other is
// unavailable, because daemons keep working during an outage of the platform.
type statusCommand struct {
	session *session
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	if _, err := c.session.store(); err != nil {
		return err
	}
	daemonsErr := c.showDaemons()
	objectsErr := c.showObjects()
	if objectsErr != nil {
		return objectsErr
	}
	return daemonsErr
}

func (c *statusCommand) showDaemons() error {
	s := c.session
	if len(s.options.Operators) == 0 {
		s.warn("no daemons shown: give --operators URL or set RAGWORT_OPERATORS")
		return nil
	}
	client, err := s.newOperatorsClient()
	if err != nil {
		return err
	}
	defer client.close()
	members, err := client.members(s.ctx)
	if err != nil {
		s.warn("%v", err)
		return err
	}
	t := newTable(s.Out, "DAEMON", "ROLE", "ZONE", "STATE", "APPLIED")
	for _, m := range members {
		t.row(m.Name, m.Role, m.Zone, m.State, fmt.Sprint(m.Applied))
	}
	t.flush()
	return nil
}

func (c *statusCommand) showObjects() error {
	s := c.session
	store, err := s.store()
	if err != nil {
		return err
	}
	lists := map[string][]platform.Object{}
	for _, kind := range []string{resource.KindLease, resource.KindRunner, resource.KindStatus, resource.KindOrderSlot} {
		lists[kind], _, err = store.List(s.ctx, kind)
		if err != nil {
			return wrapPlatformError(err, kind)
		}
	}
	s.showLeases(lists[resource.KindLease])
	s.showRunners(lists[resource.KindRunner], lists[resource.KindStatus])
	s.showOpenOrders(lists[resource.KindOrderSlot])
	s.showRefused(lists[resource.KindStatus])
	return nil
}

func (s *session) showLeases(objects []platform.Object) {
	if len(objects) == 0 {
		return
	}
	fmt.Fprintln(s.Out)
	t := newTable(s.Out, "LEASE", "HOLDER", "EPOCH")
	for _, o := range objects {
		lease, err := resource.Decode[resource.Lease](o)
		if err != nil {
			s.warn("%v", err)
			continue
		}
		t.row(o.Name, lease.Holder, fmt.Sprint(lease.Epoch))
	}
	t.flush()
}

// showRunners prints the wanted and the reported state of each runner. A status that
// can't be decoded is left out.
func (s *session) showRunners(runners, statuses []platform.Object) {
	if len(runners) == 0 {
		return
	}
	byName := map[string]resource.Status{}
	for _, o := range statuses {
		if status, err := resource.Decode[resource.Status](o); err == nil {
			byName[o.Name] = status
		}
	}
	fmt.Fprintln(s.Out)
	t := newTable(s.Out, "RUNNER", "ZONE", "WANTED", "PHASE", "ROLE", "REASON")
	for _, o := range runners {
		spec, err := resource.Decode[resource.Runner](o)
		if err != nil {
			s.warn("%v", err)
			continue
		}
		status := byName[qualifiedName(o)]
		t.row(o.Name, spec.Zone, string(spec.State)+" "+spec.Role, status.Phase, status.Role, status.Reason)
	}
	t.flush()
}

// showOpenOrders prints the orders in open order slots, and nothing if there are none.
func (s *session) showOpenOrders(slots []platform.Object) {
	t := newTable(s.Out, "OPEN ORDER", "RUNNER", "ACTION", "HOLDER", "EPOCH")
	open := 0
	for _, o := range slots {
		slot, err := resource.Decode[resource.OrderSlot](o)
		if err != nil {
			s.warn("%v", err)
			continue
		}
		if slot.State == resource.SlotOpen {
			t.row(slot.Order.ID, o.Name, string(slot.Order.Action), slot.Holder, fmt.Sprint(slot.Epoch))
			open++
		}
	}
	if open > 0 {
		fmt.Fprintln(s.Out)
		t.flush()
	}
}

// showRefused prints the objects whose newest version was refused, with the version in
// force and the reason.
func (s *session) showRefused(statuses []platform.Object) {
	var lines []string
	for _, o := range statuses {
		status, err := resource.Decode[resource.Status](o)
		if err == nil && !status.Accepted {
			lines = append(lines, fmt.Sprintf("refused: %s version=%d in force=%d: %s",
				o.Name, status.Version, status.InForce, sanitize(status.Message)))
		}
	}
	if len(lines) > 0 {
		fmt.Fprintln(s.Out, "\n"+strings.Join(lines, "\n"))
	}
}
