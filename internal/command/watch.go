package command

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
)

// watchCommand implements "watch": it shows changes as they happen.
type watchCommand struct {
	From  uint64 `long:"from" value-name:"VERSION" description:"show changes after this version; default: those from now on"`
	Count int    `long:"count" value-name:"N" description:"end after so many changes; 0: go on until interrupted"`
	Args  struct {
		Kind string `positional-arg-name:"KIND"`
	} `positional-args:"yes"`
	session *session
}

// Execute implements flags.Commander.
func (c *watchCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	if c.Count < 0 {
		return usagef("--count is %d, want 0 or more", c.Count)
	}
	kind, err := parseKind(c.Args.Kind)
	if err != nil {
		return err
	}
	store, err := c.session.store()
	if err != nil {
		return err
	}
	from := c.From
	if from == 0 {
		if _, from, err = store.List(c.session.ctx, kind); err != nil {
			return wrapPlatformError(err, kind)
		}
	}
	return c.follow(store, kind, from)
}

// follow prints the events after version from, until it has printed c.Count of them or
// the session's context ends. During an outage of the platform it prints a warning and
// retries with backoff.
func (c *watchCommand) follow(store platform.Store, kind string, from uint64) error {
	s := c.session
	shown := 0
	for attempt := 0; ; attempt++ {
		err := c.printEvents(store, kind, &from, &shown)
		if err == nil {
			return nil
		}
		if s.ctx.Err() != nil {
			return nil // an interrupt is the normal end of a watch
		}
		if !errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrDenied) {
			return wrapPlatformError(err, "watch "+kind)
		}
		s.warn("%v; trying again", err)
		if platform.Sleep(s.ctx, platform.DefaultBackoff.Ceiling(attempt)) != nil {
			return nil
		}
	}
}

// printEvents opens one watch and prints its events. It returns nil once c.Count events
// are shown, and an error if the watch fails. It updates from and shown, so that the next
// call continues after the last event.
func (c *watchCommand) printEvents(store platform.Store, kind string, from *uint64, shown *int) error {
	w, err := store.Watch(c.session.ctx, []string{kind}, *from)
	if err != nil {
		return err
	}
	defer w.Close()
	for {
		e, err := w.Next(c.session.ctx)
		if err != nil {
			return err
		}
		*from = e.Object.Version
		if e.Type == platform.Bookmark {
			continue
		}
		fmt.Fprintf(c.session.Out, "%s %s version=%d writer=%q spec=%s\n",
			e.Type, sanitize(qualifiedName(e.Object)), e.Object.Version, e.Object.Writer, sanitize(string(e.Object.Spec)))
		*shown++
		if *shown == c.Count {
			return nil
		}
	}
}
