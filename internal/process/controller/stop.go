package controller

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/authority"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// Stages of a graceful stop.
const (
	stageServing   = int32(iota)
	stageDraining  // not ready; open orders finish, and no new orders are opened
	stageReleasing // leases are being released
	stageStopped
)

// stageNames holds the names of the stages as shown to operators, by stage.
var stageNames = []string{"serving", "draining", "releasing", "stopped"}

// Time limits of a graceful stop in addition to Stop.DrainMS of the settings.
const (
	releaseTimeout = 5 * time.Second // for releasing the leases
	flushTimeout   = 5 * time.Second // for writing the rest of the audit trail
	closeTimeout   = 2 * time.Second // for finishing responses on the operators' port
)

// stop stops the controller gracefully and releases everything that New and Run opened.
// stopped is closed when the loop has ended.
//
// No new orders are opened, and open orders have Stop.DrainMS to finish. An order that is
// still open after that stays in its order slot, where the next lease holder finds it and
// continues it. Then the leases are released, so that the next holders need not wait for
// them to expire, and the audit trail is flushed. A stop takes at most Stop.DrainMS +
// releaseTimeout + flushTimeout + closeTimeout.
func (c *Controller) stop(stopped <-chan struct{}) {
	logline.Info("controller stopping", "open orders", c.openOrders.Load())
	c.stage.Store(stageDraining)
	c.members.SetLeaving()
	drainTimeout := time.Duration(c.cfg.Settings.Stop.DrainMS) * time.Millisecond
	deadline := boottime.Now().Add(drainTimeout)
	c.post(func() { c.stopping, c.drainDeadline = true, deadline })
	timer := time.NewTimer(drainTimeout + releaseTimeout)
	defer timer.Stop()
	select {
	case <-stopped:
	case <-timer.C:
		logline.Info("bound on stopping reached", "open orders", c.openOrders.Load())
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	if err := c.auditor.Flush(ctx); err != nil {
		logline.Error(err, "audit trail not flushed")
	}
	cancel()
	c.shutDown()
	c.stage.Store(stageStopped)
	logline.Info("controller stopped")
}

// post makes the loop run a function. It drops the function if the I/O context has been
// canceled.
func (c *Controller) post(f func()) {
	select {
	case c.events <- f:
	case <-c.ioCtx.Done():
	}
}

// shutDown stops the distributor, all I/O, the operators' port and the membership
// service. It waits for all goroutines and then closes all clients and listeners.
func (c *Controller) shutDown() {
	c.config.Close()
	c.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := c.ops.Shutdown(ctx); err != nil {
		logline.Info("operators' port closed hard", "error", err)
	}
	c.members.Close()
	c.goroutines.Wait()
	for _, e := range c.engines {
		e.closeClient()
	}
	c.close()
}

// close releases the resources that New opened. Some of them are nil if New failed.
func (c *Controller) close() {
	c.cancel()
	daemon.Close(c.listeners.ports(c.cfg.Settings)...)
	if c.exporter != nil {
		c.exporter.Close()
	}
	if c.closeStore != nil {
		c.closeStore()
	}
}

// advanceStop counts the open orders. During a graceful stop it releases the leases when
// no order is open or drainDeadline has passed, and returns true when all are released.
func (c *Controller) advanceStop() bool {
	open := 0
	for _, e := range c.engines {
		if openOrder, ok := e.core.Open(); ok && c.zones[e.zone].leads() && openOrder.ID != "" {
			open++
		}
	}
	c.openOrders.Store(int32(open))
	if !c.stopping {
		return false
	}
	if open > 0 && boottime.Now().Before(c.drainDeadline) {
		return false
	}
	if c.stage.CompareAndSwap(stageDraining, stageReleasing) {
		for _, z := range c.zones {
			z.step(authority.Stop{})
		}
	}
	for _, z := range c.zones {
		if !z.lease.Stopped() {
			return false
		}
	}
	return true
}
