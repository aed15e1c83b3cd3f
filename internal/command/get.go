package command

import (
	"fmt"
	"slices"
	"strings"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// specColumn is the width of the spec column of a table, in characters.
const specColumn = 80

// systemKinds lists the kinds that only the system and the platform write, not
// operators.
var systemKinds = []string{
	resource.KindInstance, resource.KindDrain, resource.KindStatus, resource.KindLease,
	resource.KindOrderSlot, resource.KindClaimBucket, resource.KindAudit, resource.KindHold,
}

// parseKind returns the kind with the given name, ignoring case.
func parseKind(name string) (string, error) {
	kinds := slices.Concat(resource.ConfigKinds, systemKinds)
	for _, kind := range kinds {
		if strings.EqualFold(kind, name) {
			return kind, nil
		}
	}
	return "", usagef("kind %q: want one of %s", name, strings.Join(kinds, ", "))
}

// getCommand implements "get".
type getCommand struct {
	Output string `short:"o" long:"output" choice:"table" choice:"json" choice:"yaml" default:"table" description:"form of the output"`
	Args   struct {
		Kind string `positional-arg-name:"KIND"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
	session *session
}

// Execute implements flags.Commander.
func (c *getCommand) Execute(args []string) error {
	if err := rejectArgs(args); err != nil {
		return err
	}
	kind, err := parseKind(c.Args.Kind)
	if err != nil {
		return err
	}
	store, err := c.session.store()
	if err != nil {
		return err
	}
	if c.Args.Name != "" {
		o, err := store.Get(c.session.ctx, kind, c.Args.Name)
		if err != nil {
			return wrapPlatformError(err, kind+"/"+c.Args.Name)
		}
		if c.Output != formatTable {
			return writeFormatted(c.session.Out, c.Output, o)
		}
		c.session.printObjects([]platform.Object{o})
		return nil
	}
	objects, _, err := store.List(c.session.ctx, kind)
	if err != nil {
		return wrapPlatformError(err, kind)
	}
	if c.Output != formatTable {
		return writeFormatted(c.session.Out, c.Output, append([]platform.Object{}, objects...))
	}
	c.session.printObjects(objects)
	return nil
}

// printObjects prints objects as a table with the start of each spec.
func (s *session) printObjects(objects []platform.Object) {
	t := newTable(s.Out, "NAME", "VERSION", "WRITER", "SPEC")
	for _, o := range objects {
		t.row(o.Name, fmt.Sprint(o.Version), o.Writer, truncate(string(o.Spec), specColumn))
	}
	t.flush()
}
