package gateway

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// Stages of a graceful shutdown.
const (
	stageServing  = int32(iota)
	stageLeaving  // not ready, but new requests are still served
	stageDraining // listeners are closed, requests in flight continue
	stageStopped
)

// stageNames are the names of the stages on the operators' port.
var stageNames = []string{"serving", "leaving", "draining", "stopped"}

// Timeouts of a graceful shutdown in addition to those of the settings.
const (
	claimCloseTimeout = 2 * time.Second // for claim requests of peers
	shutdownTimeout   = 5 * time.Second // for error answers after the drain timeout, and for closing servers
)

// stop shuts the gateway down gracefully. Readiness fails first, so that the load balancer
// sends new callers elsewhere while requests that still arrive are served. Then the
// listeners close and requests in flight continue. Those still in flight at the drain
// timeout get an error with their actual run state.
func (g *Gateway) stop() {
	s := g.cfg.Settings.Stop
	g.stage.Store(stageLeaving)
	g.callers.AskToClose()
	logline.Info("gateway stopping", "running", g.inFlight.Count())
	time.Sleep(time.Duration(s.BalancerMS) * time.Millisecond)
	g.stage.Store(stageDraining)
	g.members.SetLeaving()
	if err := g.shutdownCallers(time.Duration(s.DrainMS) * time.Millisecond); err != nil {
		logline.Info("bound on draining reached", "running", g.inFlight.Count(), "error", err)
		g.abort()
		if err := g.shutdownCallers(shutdownTimeout); err != nil {
			logline.Info("callers' connections closed", "running", g.inFlight.Count(), "error", err)
		}
	}
	g.shutdown()
	g.stage.Store(stageStopped)
	logline.Info("gateway stopped")
}

// shutdownCallers closes the callers' port and waits until the end of all requests and connections of callers.
func (g *Gateway) shutdownCallers(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return g.callers.Shutdown(ctx)
}

// shutdown closes the servers and connections that are still open, in the reverse order of their start, and
// waits until all goroutines have ended.
func (g *Gateway) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	g.callers.Close()
	g.keeper.Close(claimCloseTimeout)
	g.config.Close()
	g.stopBackground()
	g.poller.wait()
	g.members.Close()
	g.listeners.peers.Close()
	if err := g.ops.Shutdown(ctx); err != nil {
		logline.Info("operators' port closed hard", "error", err)
	}
	g.goroutines.Wait()
	g.engines.close()
	g.poller.engines.close()
	g.services.Close()
	g.exporter.Close()
	g.closeStore()
	g.abort()
}
