package entry

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// Stages of a graceful shutdown.
const (
	stageServing = int32(iota)
	stageLeaving // the readiness check fails, and requests are still served
	stageClosing // the callers' port closes; requests that have not begun are refused, running ones may finish
	stageStopped // no request is served any more
)

const (
	// acceptShare is the share of the grace period in which new requests are still accepted. The load
	// balancer checks readiness once a second and acts on the second failure, so this share of an ordinary
	// grace period has to be longer than two seconds. A long response that begins after three eighths of
	// the grace period would be aborted before it is complete.
	acceptShare = 0.33
	// hardStopShare is the share of the grace period after which running requests are aborted. The end of
	// that time is in the last sixth of the grace period.
	hardStopShare = 0.92
	// abortShare is the share of the grace period in which aborted requests are answered. After that, all
	// connections are closed.
	abortShare = 0.05
)

// stopTimes returns when a stopping process stops accepting requests (closeAt), and when it aborts the
// requests that still run (endAt).
func stopTimes(requestedAt time.Time, grace time.Duration) (closeAt, endAt time.Time) {
	closeAt = requestedAt.Add(time.Duration(float64(grace) * acceptShare))
	return closeAt, requestedAt.Add(time.Duration(float64(grace) * hardStopShare))
}

// stop shuts down gracefully. The load balancer's readiness check fails at once, and each answer asks its
// caller to close the connection. New requests are accepted, and running ones may finish, for the times
// that stopTimes returns. Idle connections are closed early, though not before a request that is on its way
// has arrived: a request that callers send on them later may be too long for the rest of the grace period.
func (e *Entry) stop() {
	startedAt := time.Now()
	grace := e.liveSettings.Load().bounds.StopGracePeriod()
	e.callerServer.AskToClose()
	e.stage.Store(stageLeaving)
	e.callerServer.CloseIdle()
	logline.Info("entry stopping", "running", e.activeRequests.Count(), "grace", grace)
	e.peers.announceStop()
	e.streamStore.handOver(true)
	e.streamStore.wakeUp()
	closeAt, endAt := stopTimes(startedAt, grace)
	time.Sleep(time.Until(closeAt))
	e.stage.Store(stageClosing)
	e.cancelClosing()
	if err := e.shutdownCallers(endAt); err != nil {
		logline.Info("bound on stopping reached", "running", e.activeRequests.Count(), "error", err)
		e.cancelHardStop()
		if err := e.shutdownCallers(time.Now().Add(time.Duration(float64(grace) * abortShare))); err != nil {
			logline.Info("callers' connections closed", "running", e.activeRequests.Count(), "error", err)
		}
	}
	e.awaitTunnels(endAt)
	e.callerServer.Close()
	e.stage.Store(stageStopped)
	e.readyServer.Close()
	e.operatorServer.Close()
}

// tunnelCheckInterval is how often a stopping process checks whether tunnels are left.
const tunnelCheckInterval = 20 * time.Millisecond

// awaitTunnels waits until the end of all tunnels of other instances, until the given time at most, and then ends them.
func (e *Entry) awaitTunnels(until time.Time) {
	for e.tunnelsServed.Count() > 0 && time.Now().Before(until) {
		time.Sleep(tunnelCheckInterval)
	}
	if n := e.tunnelsServed.Count(); n > 0 {
		logline.Info("tunnels ended", "running", n)
		e.cancelHardStop()
	}
}

// shutdownCallers waits until the end of all requests and connections of callers, until the given time at
// most.
func (e *Entry) shutdownCallers(until time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	return e.callerServer.Shutdown(ctx)
}
