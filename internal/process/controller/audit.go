package controller

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// Change is one entry of the audit trail.
type Change struct {
	At      time.Time
	Who     string // instance that made or refused the change
	What    string // lease, order, drain, role
	Object  string // <Kind>/<name>
	From    string
	To      string
	Why     string
	Epoch   uint64
	Outcome string
}

// Auditor keeps the audit trail. Record must not block.
type Auditor interface {
	Record(c Change)
	// Flush writes what is buffered, at most until ctx ends.
	Flush(ctx context.Context) error
}

// logAuditor writes the trail to the log.
type logAuditor struct{}

// Record implements Auditor.
func (logAuditor) Record(c Change) {
	logline.Info("audit", "what", c.What, "object", c.Object, "from", c.From, "to", c.To,
		"why", c.Why, "epoch", c.Epoch, "outcome", c.Outcome)
}

// Flush implements Auditor.
func (logAuditor) Flush(context.Context) error { return nil }

func newStoreAuditor(*Controller) Auditor { return logAuditor{} }

// record writes a change to the audit trail and to the ring of decisions. subject
// is what explain is asked for.
func (c *Controller) record(subject string, ch Change) {
	ch.At, ch.Who = time.Now(), c.self.Name
	c.auditor.Record(ch)
	line := ch.What + " " + ch.Object + " from=" + ch.From + " to=" + ch.To + " outcome=" + ch.Outcome + ": " + ch.Why
	c.explain.add(subject, line)
}
