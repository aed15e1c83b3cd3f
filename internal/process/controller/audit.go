package controller

import (
	"context"

	"github.com/ragworttrestle/ragworttrestle/internal/process/audit"
)

// Auditor writes the audit trail.
type Auditor interface {
	// Record adds an entry. It must not block.
	Record(e audit.Entry)
	// Flush writes the buffered entries, until ctx ends at the latest.
	Flush(ctx context.Context) error
}

// openAudit sets the auditor: the Auditor of the Config, or if that is nil an audit
// trail in the platform's store, which it starts.
func (c *Controller) openAudit() {
	c.auditor = c.cfg.Auditor
	if c.auditor != nil {
		return
	}
	trail := audit.NewTrail(audit.Config{Store: c.store, Writer: c.self.Name})
	c.auditor = trail
	c.start(func() { trail.Run(c.ioCtx) })
}

// record adds an entry to the audit trail and a line about it to the explain log under
// subject. It sets Who to this process.
func (c *Controller) record(subject string, e audit.Entry) {
	e.Who = c.self.Name
	c.auditor.Record(e)
	line := string(e.Kind) + " " + e.Object + " from=" + e.From + " to=" + e.To + " outcome=" + e.Outcome + ": " + e.Why
	c.explain.add(subject, line)
}
