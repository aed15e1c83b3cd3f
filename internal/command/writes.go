package command

import (
	"context"
	"fmt"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/audit"
)

// auditedWriter makes the writes of one command and collects their audit entries.
type auditedWriter struct {
	session *session
	store   platform.Store
	entries []audit.Entry
	reason  string
	newest  uint64 // newest version of the command's objects; a daemon that has applied it has all of them in force
	written bool   // at least one object was changed
}

func newAuditedWriter(s *session, store platform.Store, reason string) *auditedWriter {
	return &auditedWriter{
		session: s,
		store:   store,
		reason:  reason,
	}
}

// close writes the audit entries, also if the session's context has ended. If that fails
// it only prints a warning, because the changes have been made already.
func (w *auditedWriter) close() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(w.session.ctx), w.session.options.Timeout)
	defer cancel()
	if err := audit.Append(ctx, w.store, w.session.writer(), time.Now(), w.entries); err != nil {
		w.session.warn("the audit trail does not show this command: %v", err)
	}
}

// put writes o in place of current, the stored object, and prints the new version.
// current is the zero Object if none is stored.
func (w *auditedWriter) put(o, current platform.Object) error {
	o.Writer = w.session.writer()
	o.Nonce = platform.NewNonce()
	stored, err := platform.Write(w.session.ctx, w.store, o)
	if err != nil {
		return w.failed(o, current, wrapPlatformError(err, qualifiedName(o)))
	}
	w.newest = max(w.newest, stored.Version)
	w.written = true
	verb := "updated"
	if current.Version == 0 {
		verb = "created"
	}
	w.record(o, current.Version, stored.Version, verb)
	fmt.Fprintf(w.session.Out, "%s %s version=%d\n", qualifiedName(o), verb, stored.Version)
	return nil
}

// failed records a refused write in the audit entries and returns err.
func (w *auditedWriter) failed(o, current platform.Object, err error) error {
	w.record(o, current.Version, 0, "refused: "+err.Error())
	return err
}

// record adds an audit entry about a change of o from one version to another. Version zero
// means that the object doesn't exist or was not written.
func (w *auditedWriter) record(o platform.Object, from, to uint64, outcome string) {
	w.entries = append(w.entries, audit.Entry{
		At:      time.Now(),
		Kind:    audit.ChangeConfig,
		Object:  qualifiedName(o),
		From:    versionText(from),
		To:      versionText(to),
		Why:     w.reason,
		Outcome: outcome,
	})
}

// versionText returns the text for a version in an audit entry; it is empty for zero.
func versionText(version uint64) string {
	if version == 0 {
		return ""
	}
	return fmt.Sprintf("version %d", version)
}
