package command

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const deleteLong = `Deletes an object. One that other objects name, as a route names its model, is
left alone with a warning that names them, unless --force is given.`

// deleteCommand implements "delete".
type deleteCommand struct {
	waitOptions
	Version uint64 `long:"version" value-name:"N" description:"delete only this version"`
	Force   bool   `long:"force" description:"delete even if other objects name it"`
	Reason  string `long:"reason" value-name:"TEXT" description:"why, for the audit trail"`
	Args    struct {
		Kind string `positional-arg-name:"KIND"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
	session *session
}

// Execute implements flags.Commander.
func (c *deleteCommand) Execute(args []string) error {
	s := c.session
	if err := rejectArgs(args); err != nil {
		return err
	}
	kind, err := c.deletableKind()
	if err != nil {
		return err
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
	objects, version, err := listForDelete(s.ctx, store, kind)
	if err != nil {
		return wrapPlatformError(err, "looking for objects that name "+kind+"/"+c.Args.Name)
	}
	current, err := c.findObject(objects, kind)
	if err != nil {
		return err
	}
	if err := c.checkReferrers(objects, kind); err != nil {
		return err
	}
	if err := c.remove(store, current); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	deleted, err := c.deletionVersion(store, kind, version)
	if err != nil {
		return wrapPlatformError(err, "deleted, but its version is not known")
	}
	return s.waitApplied(deleted, c.WaitTimeout)
}

// deletableKinds lists the kinds that operators may delete: those that they write,
// and holds, which the system writes.
var deletableKinds = slices.Concat(resource.ConfigKinds, []string{resource.KindHold})

// deletableKind returns the kind argument, or an error if operators may not delete
// objects of that kind.
func (c *deleteCommand) deletableKind() (string, error) {
	kind, err := parseKind(c.Args.Kind)
	switch {
	case err != nil:
		return "", err
	case !slices.Contains(deletableKinds, kind):
		return "", usagef("kind %q is the system's own: operators delete %s", kind, strings.Join(deletableKinds, ", "))
	case kind == resource.KindHold && c.Wait:
		return "", usagef("--wait waits for a version of the configuration, of which a %s is no part", kind)
	}
	return kind, nil
}

// listForDelete returns the objects of a kind and all objects that may reference them.
// The version is that of the list of kind: a watch from it sees a deletion made later.
func listForDelete(ctx context.Context, store platform.Store, kind string) ([]platform.Object, uint64, error) {
	objects, version, err := store.List(ctx, kind)
	if err != nil {
		return nil, 0, err
	}
	for _, other := range referringKinds {
		if other == kind {
			continue
		}
		more, _, err := store.List(ctx, other)
		if err != nil {
			return nil, 0, err
		}
		objects = append(objects, more...)
	}
	return objects, version, nil
}

// deletionVersion returns the version that the platform gave to the deletion. It
// watches from since, a version before the deletion.
func (c *deleteCommand) deletionVersion(store platform.Store, kind string, since uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(c.session.ctx, c.WaitTimeout)
	defer cancel()
	w, err := store.Watch(ctx, []string{kind}, since)
	if err != nil {
		return 0, err
	}
	defer w.Close()
	for {
		e, err := w.Next(ctx)
		if err != nil {
			return 0, err
		}
		if e.Type == platform.Deleted && e.Object.Name == c.Args.Name {
			return e.Object.Version, nil
		}
	}
}

// checkReferrers warns if other objects reference the one to delete, and returns a
// conflict unless --force is set.
func (c *deleteCommand) checkReferrers(objects []platform.Object, kind string) error {
	names := referrers(objects, kind, c.Args.Name)
	if len(names) == 0 {
		return nil
	}
	message := fmt.Sprintf("%s/%s is named by %s", kind, c.Args.Name, strings.Join(names, ", "))
	c.session.warn("%s", message)
	if c.Force {
		return nil
	}
	return errkind.New(errkind.Conflict, errkind.NotRun, message+"; --force deletes it nevertheless")
}

// findObject returns the object to delete.
func (c *deleteCommand) findObject(objects []platform.Object, kind string) (platform.Object, error) {
	for _, o := range objects {
		if o.Kind == kind && o.Name == c.Args.Name {
			return o, nil
		}
	}
	return platform.Object{}, wrapPlatformError(platform.ErrNotFound, kind+"/"+c.Args.Name)
}

// remove deletes the object at the version given by --version, or else at the
// version just read.
func (c *deleteCommand) remove(store platform.Store, current platform.Object) error {
	s := c.session
	version := current.Version
	if c.Version != 0 {
		version = c.Version
	}
	w := newAuditedWriter(s, store, c.Reason)
	defer w.close()
	if err := platform.ResolveDelete(s.ctx, store, current.Kind, current.Name, version, s.writer()); err != nil {
		return w.failed(current, current, wrapPlatformError(err, qualifiedName(current)))
	}
	w.record(current, version, 0, "deleted")
	fmt.Fprintf(s.Out, "%s deleted\n", qualifiedName(current))
	return nil
}
