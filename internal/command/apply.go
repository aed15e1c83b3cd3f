package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
)

const applyLong = `Writes the objects of a file, "-" for the input, in their order. The file is
JSON with comments or YAML: one object, a list, or YAML documents, each with kind,
name and spec. Everything is validated before the first write. A write is
conditional on the version just read, or on the version given in the file; when
another writer came first, the command stops with a conflict that names them.`

// waitOptions holds the flags of commands that can wait for daemons.
type waitOptions struct {
	Wait        bool          `long:"wait" description:"return when every live daemon has the change in force"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"60s" description:"give up waiting after so long and name the daemons that lag"`
}

// applyCommand implements "apply": it writes the objects of a file to the platform.
type applyCommand struct {
	waitOptions
	File    string `short:"f" long:"file" required:"true" value-name:"FILE" description:"JSON with comments or YAML; - for the input"`
	Reason  string `long:"reason" value-name:"TEXT" description:"why, for the audit trail"`
	session *session
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute(args []string) error {
	s := c.session
	if err := rejectArgs(args); err != nil {
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
	objects, err := readInput(c.File, s.In)
	if err != nil {
		return err
	}
	w := newAuditedWriter(s, store, c.Reason)
	defer w.close()
	for _, o := range objects {
		if err := w.apply(o); err != nil {
			return err
		}
	}
	if c.Wait {
		return s.waitApplied(w.newest, c.WaitTimeout)
	}
	return nil
}

// apply writes one object, unless the stored one already has the same spec.
func (w *auditedWriter) apply(o platform.Object) error {
	current, err := w.store.Get(w.session.ctx, o.Kind, o.Name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return wrapPlatformError(err, qualifiedName(o))
	}
	exists := err == nil
	if o.Version != 0 && o.Version != current.Version {
		conflict := &platform.ConflictError{Kind: o.Kind, Name: o.Name, Current: platform.CurrentOf(current)}
		return w.failed(o, current, wrapPlatformError(conflict, qualifiedName(o)))
	}
	if exists && sameJSON(current.Spec, o.Spec) {
		w.newest = max(w.newest, current.Version)
		fmt.Fprintf(w.session.Out, "%s unchanged version=%d\n", qualifiedName(o), current.Version)
		return nil
	}
	o.Version = current.Version
	return w.put(o, current)
}

// sameJSON reports whether two specs have the same JSON value, ignoring formatting.
func sameJSON(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}

// rejectArgs returns a usage error if unexpected positional arguments are left.
func rejectArgs(args []string) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	return nil
}
