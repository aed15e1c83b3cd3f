package command

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const drainLong = `Takes a runner, or an upstream of a plain service, out of work: it gets nothing
new, and what runs there runs to its end. With --wait the command returns when
every live daemon knows, and for a runner when it is drained.`

// Phases in the status of a runner that has no work left.
const (
	phaseDrained   = "drained"
	phaseWithdrawn = "withdrawn"
)

// drainCommand implements "drain": it sets the wanted state of a runner or of an
// upstream of a plain service.
type drainCommand struct {
	waitOptions
	Undo     bool   `long:"undo" description:"give it work again"`
	Withdraw bool   `long:"withdraw" description:"take it away for good"`
	Reason   string `long:"reason" value-name:"TEXT" description:"why, for the audit trail"`
	Args     struct {
		Name string `positional-arg-name:"RUNNER|UPSTREAM"`
	} `positional-args:"yes" required:"yes"`
	session *session
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute(args []string) error {
	s := c.session
	if err := rejectArgs(args); err != nil {
		return err
	}
	if c.Undo && c.Withdraw {
		return usagef("--undo and --withdraw exclude each other")
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	if c.Wait {
		if err := s.checkOperatorAddresses(); err != nil {
			return err
		}
	}
	w := newAuditedWriter(s, store, c.Reason)
	defer w.close()
	isRunner, err := c.setState(w)
	if err != nil || !c.Wait {
		return err
	}
	deadline := time.Now().Add(c.WaitTimeout)
	if err := s.waitApplied(w.newest, c.WaitTimeout); err != nil {
		return err
	}
	if !isRunner || c.Undo {
		return nil
	}
	var since uint64 // zero if the wanted state was set before: then any status counts
	if w.written {
		since = w.newest
	}
	return c.waitDrained(store, since, deadline)
}

// wantedState returns the state that the flags ask for.
func (c *drainCommand) wantedState() resource.RunnerState {
	switch {
	case c.Undo:
		return resource.RunnerServing
	case c.Withdraw:
		return resource.RunnerWithdrawn
	default:
		return resource.RunnerDrained
	}
}

// setState writes the wanted state of the runner with the given name or, if there is
// none, of the upstream with that name.
func (c *drainCommand) setState(w *auditedWriter) (isRunner bool, err error) {
	current, err := w.store.Get(w.session.ctx, resource.KindRunner, c.Args.Name)
	if err == nil {
		return true, c.setRunner(w, current)
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return false, wrapPlatformError(err, resource.KindRunner+"/"+c.Args.Name)
	}
	services, _, err := w.store.List(w.session.ctx, resource.KindService)
	if err != nil {
		return false, wrapPlatformError(err, resource.KindService)
	}
	for _, service := range services {
		if found, err := c.setUpstream(w, service); found || err != nil {
			return false, err
		}
	}
	return false, errkind.Field(errkind.NotFound, "name", fmt.Sprintf("%q is neither a runner nor an upstream of a service", c.Args.Name))
}

func (c *drainCommand) setRunner(w *auditedWriter, current platform.Object) error {
	spec, err := resource.Decode[resource.Runner](current)
	if err != nil {
		return err
	}
	spec.State = c.wantedState()
	return putSpec(w, current, spec)
}

// setUpstream writes the wanted state of the upstream if the service has one with the
// given name.
func (c *drainCommand) setUpstream(w *auditedWriter, current platform.Object) (found bool, err error) {
	spec, err := resource.Decode[resource.Service](current)
	if err != nil {
		return false, nil // an invalid service has no upstream in force
	}
	index := slices.IndexFunc(spec.Upstreams, func(u resource.ServiceUpstream) bool { return u.Name == c.Args.Name })
	if index < 0 {
		return false, nil
	}
	spec.Upstreams[index].State = c.wantedState()
	return true, putSpec(w, current, spec)
}

// putSpec replaces the spec of an object, unless the stored one is the same.
func putSpec(w *auditedWriter, current platform.Object, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrapf(err, "encoding %s", qualifiedName(current))
	}
	next := current
	next.Spec = raw
	if sameJSON(current.Spec, next.Spec) {
		w.newest = max(w.newest, current.Version)
		fmt.Fprintf(w.session.Out, "%s unchanged version=%d\n", qualifiedName(current), current.Version)
		return nil
	}
	if err := resource.Validate(next); err != nil {
		return err
	}
	return w.put(next, current)
}

// waitDrained waits until the runner's status says that it has no work left, and returns
// an error at the deadline. It ignores statuses of versions before since, since they may
// belong to an earlier drain.
func (c *drainCommand) waitDrained(store platform.Store, since uint64, deadline time.Time) error {
	s := c.session
	name := resource.KindRunner + "/" + c.Args.Name
	for {
		status, err := readStatus(s, store, name)
		drained := status.Phase == phaseDrained || status.Phase == phaseWithdrawn
		if drained && status.Version >= since {
			fmt.Fprintf(s.Out, "%s is %s\n", name, status.Phase)
			return nil
		}
		if time.Now().After(deadline) {
			message := fmt.Sprintf("%s gets no new work, but is not drained after %s: its status is of version %d with phase %q",
				name, c.WaitTimeout, status.Version, status.Phase)
			return errkind.Wrap(err, errkind.DeadlineExceeded, errkind.Ran, message)
		}
		if err := platform.Sleep(s.ctx, pollInterval); err != nil {
			return err
		}
	}
}

// readStatus returns the Status object with the given name.
func readStatus(s *session, store platform.Store, name string) (resource.Status, error) {
	o, err := store.Get(s.ctx, resource.KindStatus, name)
	if err != nil {
		return resource.Status{}, err
	}
	return resource.Decode[resource.Status](o)
}
