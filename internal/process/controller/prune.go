package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/audit"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// The audit trail is pruned so that it does not fill up the platform's store.
const (
	auditRetention    = 30 * 24 * time.Hour // segments whose latest entry is older are deleted
	initialPruneDelay = 10 * time.Minute    // after the start of the process
	pruneInterval     = 24 * time.Hour
	pruneRetryDelay   = time.Hour   // after a failure
	pruneTimeout      = time.Minute // limit of one run; the next one deletes the remaining segments
)

// pruning tracks when this process prunes the audit trail next.
type pruning struct {
	dueAt   boottime.Time
	running bool
}

// pruneAudit deletes old segments of the audit trail if that is due and this process
// leads the first zone by name. Two processes may do so at once, such as after a change
// of the lease holder: deletes are conditional, so this does no harm.
func (c *Controller) pruneAudit(now boottime.Time) {
	p := &c.pruning
	if p.running || now.Before(p.dueAt) || c.stopping || !c.leadsFirstZone() {
		return
	}
	p.running = true
	c.runIO(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, pruneTimeout)
		defer cancel()
		c.meters.storeCalls.Inc(1)
		deleted, err := audit.Prune(ctx, c.store, time.Now().Add(-auditRetention), c.self.Name)
		return func() { c.pruneEnded(deleted, err) }
	})
}

// pruneEnded sets when the audit trail is pruned next.
func (c *Controller) pruneEnded(deleted int, err error) {
	c.pruning = pruning{dueAt: boottime.Now().Add(pruneInterval)}
	if err != nil {
		c.meters.storeErrors.Inc(1)
		c.pruning.dueAt = boottime.Now().Add(pruneRetryDelay)
	}
	if deleted > 0 || err != nil {
		logline.Info("audit trail pruned", "segments", deleted, "older than", auditRetention, "error", err)
	}
}

// leadsFirstZone reports whether this process leads the zone whose name sorts first.
// The holder of that zone's lease performs the tasks that concern all zones.
func (c *Controller) leadsFirstZone() bool {
	if len(c.zones) == 0 {
		return false
	}
	return c.zones[slices.Min(slices.Collect(maps.Keys(c.zones)))].leads()
}
