package gateway

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// Stages of a planned stop.
const (
	stageServing  = int32(iota)
	stageLeaving  // readiness fails, new requests are still served
	stageDraining // listeners are closed, running requests go to their end
	stageStopped
)

var stageNames = []string{"serving", "leaving", "draining", "stopped"}

// Bounds of a planned stop beyond those of the settings.
const (
	lastClaims  = 2 * time.Second        // for claims that peers asked for
	lastAnswers = 5 * time.Second        // for error answers after the bound on draining
	linger      = 200 * time.Millisecond // connections may bring a last request after the listener closed
)

// stop is a planned stop. Readiness fails first, so that the balancer sends new
// callers elsewhere while those on their way are still served. Then the listeners
// close and running requests go to their end. At the bound on draining each one
// that still runs gets an error that tells its true run state.
func (g *Gateway) stop() {
	s := g.cfg.Settings.Stop
	g.stage.Store(stageLeaving)
	logline.Info("gateway stopping", "running", g.running.Count())
	time.Sleep(time.Duration(s.BalancerMS) * time.Millisecond)
	g.stage.Store(stageDraining)
	g.listeners.callers.Close()
	g.members.SetLeaving()
	if !g.drain(time.Duration(s.DrainMS) * time.Millisecond) {
		logline.Info("bound on draining reached", "running", g.running.Count())
		g.stopHard()
		g.drain(lastAnswers)
	}
	g.closeDown()
	g.stage.Store(stageStopped)
	logline.Info("gateway stopped")
}

// drain waits for running requests. Connections that were idle get a moment to
// bring a request that was already on its way.
func (g *Gateway) drain(bound time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	if !g.running.Wait(ctx) {
		return false
	}
	_ = sleep(ctx, linger)
	return g.running.Wait(ctx)
}

// closeDown ends everything that is left, in the reverse order of its start.
func (g *Gateway) closeDown() {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	if err := g.callers.Shutdown(ctx); err != nil {
		g.callers.Close()
	}
	g.keeper.Close(lastClaims)
	g.config.Close()
	g.stopWork()
	g.poller.wait()
	g.members.Close()
	g.listeners.peers.Close()
	if err := g.ops.Shutdown(ctx); err != nil {
		logline.Info("operators' port closed hard", "error", err)
	}
	g.loops.Wait()
	g.engines.close()
	g.poller.engines.close()
	g.services.Close()
	g.exporter.Close()
	g.closeAll()
	g.stopHard()
}
