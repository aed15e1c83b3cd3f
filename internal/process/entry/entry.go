package entry

import (
	"context"
	"io"
	"log"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/caller"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/tunnel"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/holds"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/metrics"
	"github.com/ragworttrestle/ragworttrestle/internal/process/portguard"
)

const (
	// defaultBodyBytes limits a request body if the configuration has no limit.
	defaultBodyBytes = 4 << 20
	// defaultBodyTimeout limits reading the body of a request without a deadline.
	defaultBodyTimeout = 30 * time.Second
	// defaultStartWait is how long a request of a route without an objective may wait for a place.
	defaultStartWait = time.Second
	// defaultRetryAfter is the Retry-After of refusals without a better estimate. A lost connection or
	// a missing configuration is usually restored in about that time.
	defaultRetryAfter = 500 * time.Millisecond
	// waitingTick is how often waiting requests are checked if no event triggers a decision. It limits
	// the delay before a request that can't start in time is refused.
	waitingTick = 10 * time.Millisecond
	// Timeouts of connections to upstreams, see upstream.HTTPOptions. Network delays are a few
	// milliseconds.
	upstreamDialTimeout = 500 * time.Millisecond
	upstreamUserTimeout = 1500 * time.Millisecond
	upstreamIdleTimeout = 4 * time.Second
	upstreamKeepAlive   = time.Second
)

// Entry is a ragwort-entry process.
type Entry struct {
	cfg             Config
	state           *state
	client          *upstream.Services
	links           *ownLinks
	tunnels         *tunnel.Client  // for connections to upstreams through other instances
	tunnelsServed   daemon.Activity // tunnels that this instance forwards for others
	metrics         *entryMetrics
	startup         *startup
	demand          *demandTracker
	peers           *peerExchange // nil: no messages are exchanged with other instances
	holds           *holds.Keeper
	streams         *streamOrigins
	origins         *originRecord
	originReader    *originReader
	streamStore     *streamStore
	liveSettings    atomic.Pointer[liveSettings]
	callsCtx        renewableContext          // of calls that list or watch platform objects; canceled when the platform is back after an outage
	era             atomic.Uint64             // era of the platform at the last checkEra; grows with each restore from a copy
	eraKnown        atomic.Bool               // era was set from the platform's first answer
	usage           *usageTracker             // nil: usage isn't reported
	duties          atomic.Pointer[dutyGrant] // permission for the calls that are left to the holder of the lease; nil: none
	eraCtx          renewableContext          // canceled when the platform is restored from an older copy
	requestLog      *requestLog
	retryReporter   *retryReporter
	readAheadBudget memoryBudget              // for the buffers of all streams together
	kvLostAt        atomic.Pointer[time.Time] // when a KV cache was last found to be gone; nil: never

	exporter       *metrics.Exporter
	callerServer   *caller.Server
	readyServer    *caller.Server
	operatorServer *caller.Server
	guards         *guards

	reloadSignals  chan os.Signal
	lastQueueID    atomic.Uint64 // queueID of the newest request
	stage          atomic.Int32  // stage of the graceful shutdown, one of stageServing to stageStopped
	activeRequests daemon.Activity
	workCtx        context.Context // of background work; canceled after the last request has ended
	cancelWork     context.CancelFunc
	hardStopCtx    context.Context // canceled when a graceful shutdown takes too long; ends all requests
	cancelHardStop context.CancelFunc
	closingCtx     context.Context // canceled when a graceful shutdown reaches stageClosing; no request begins after that
	cancelClosing  context.CancelFunc
	goroutines     sync.WaitGroup
}

// New creates an entry process; Run starts it.
func New(cfg Config) *Entry {
	e := &Entry{
		cfg:   cfg,
		state: newState(cfg.Settings),
		client: upstream.NewServices(upstream.HTTPOptions{
			DialTimeout: upstreamDialTimeout,
			UserTimeout: upstreamUserTimeout,
			IdleTimeout: upstreamIdleTimeout,
			KeepAlive:   upstreamKeepAlive,
		}),
		tunnels:         tunnel.NewClient(),
		demand:          newDemandTracker(),
		streams:         newStreamOrigins(uint64(time.Now().UnixMicro())),
		origins:         newOriginRecord(),
		originReader:    newOriginReader(cfg.Records),
		reloadSignals:   notifyReloads(),
		requestLog:      newRequestLog(cfg.Settings.Logging.LinesPerSecond),
		readAheadBudget: memoryBudget{limit: int64(readAheadMemoryShare * float64(cfg.Settings.Limits.MemoryMB<<20))},
	}
	e.liveSettings.Store(&liveSettings{bounds: cfg.Settings.Bounds, roles: cfg.Settings.Roles})
	if u := cfg.Settings.Usage; cfg.Duties != nil && u.WindowSeconds > 0 {
		e.usage = newUsageTracker(u)
	}
	e.exporter = metrics.New("ragwort_entry", map[string]string{"zone": cfg.Settings.Instance.Zone})
	e.metrics = newEntryMetrics(e.exporter.Scope())
	e.startup = newStartup(e.exporter.Scope())
	e.retryReporter = &retryReporter{scope: e.exporter.Scope()}
	e.links = newOwnLinks(e.metrics)
	e.workCtx, e.cancelWork = context.WithCancel(context.Background())
	e.hardStopCtx, e.cancelHardStop = context.WithCancel(context.Background())
	e.closingCtx, e.cancelClosing = context.WithCancel(context.Background())
	e.holds = e.newHolds()
	e.streamStore = newStreamStore(e)
	e.originReader.onMissing = e.origins.forget
	e.state.confirmation.onResume = e.handleResume
	if cfg.Engines != nil {
		cfg.Engines.OnResponse(e.handleOwnCallNotices)
	}
	e.guards = e.newGuards(cfg.Settings.Limits, e.exporter.Scope())
	e.callerServer = caller.NewServer(newServer(e.callerHandler()), e.guards.callers.Guard)
	e.readyServer = caller.NewServer(newAnsweringServer(e.readyHandler()), e.guards.ready.Guard)
	e.operatorServer = caller.NewServer(newAnsweringServer(e.operatorsHandler()), e.guards.operators.Guard)
	return e
}

// newServer returns a server without its own error log. It sets no timeouts and a large limit on heads: its guard
// keeps to the limits in force.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        h,
		MaxHeaderBytes: maxServerHeadBytes,
		ErrorLog:       log.New(io.Discard, "", 0), // the log line of a request has its errors
	}
}

// newAnsweringServer returns a server whose answers are short, and are given up if nobody reads them.
func newAnsweringServer(h http.Handler) *http.Server {
	s := newServer(h)
	s.WriteTimeout = callerWriteTimeout
	return s
}

// callerHandler handles callers' requests, whatever their path.
func (e *Entry) callerHandler() http.Handler {
	router := newRouter()
	router.Any("/*", func(c echo.Context) error {
		e.serve(c.Response().Writer, c.Request())
		return nil
	})
	return router
}

func newRouter() *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	return router
}

// readyHandler serves the load balancer's readiness check.
func (e *Entry) readyHandler() http.Handler {
	router := newRouter()
	router.GET(e.cfg.ReadyPath, func(c echo.Context) error {
		if reason := e.notReadyReason(); reason != "" {
			return c.String(http.StatusServiceUnavailable, reason)
		}
		return c.String(http.StatusOK, "ready")
	})
	return router
}

// notReadyReason returns why the load balancer shouldn't send new callers to this instance. It returns
// "" if this instance is ready. An instance without a list of upstreams is ready if it can ask another
// instance to choose upstreams for its requests.
func (e *Entry) notReadyReason() string {
	reason, placer := e.cannotPlaceReason(), ""
	if reason == reasonNoUpstreams {
		placer = e.peers.placer()
	}
	if placer != "" {
		reason = ""
	}
	if reason == "" {
		e.startup.recordReady(e.configVersion(), placer == "", placer)
	}
	return reason
}

// reasonNoUpstreams is what cannotPlaceReason returns for an instance without a list of upstreams.
const reasonNoUpstreams = "no list of upstreams yet"

// reasonNotListening is what cannotPlaceReason returns while the sockets for other instances aren't open.
const reasonNotListening = "no socket for other instances yet (" + fieldPeers + ")"

// cannotPlaceReason returns why this instance can't choose upstreams for requests. It returns "" if it
// can.
func (e *Entry) cannotPlaceReason() string {
	switch {
	case e.stage.Load() != stageServing:
		return "stopping"
	case e.peers != nil && !e.peers.isListening():
		return reasonNotListening
	case e.state.config.Load() == nil:
		return "no configuration yet"
	case !e.state.upstreamsListed():
		return reasonNoUpstreams
	}
	return ""
}

// operatorsHandler serves the metrics.
func (e *Entry) operatorsHandler() http.Handler {
	router := newRouter()
	router.GET("/metrics", echo.WrapHandler(e.exporter.Handler()))
	return router
}

// Run serves until ctx ends or a server fails, and then shuts down gracefully. It returns an error if it
// can't listen on an address, or if a server failed.
func (e *Entry) Run(ctx context.Context) error {
	s := e.cfg.Settings
	debug.SetMemoryLimit(portguard.RuntimeLimit(s.Limits.MemoryMB))
	workCtx := e.workCtx
	defer e.cancelWork()
	var ports listeners
	if err := ports.openWhenFree(ctx, s.Listen); err != nil {
		if ctx.Err() != nil {
			return nil // stopped before it served anybody
		}
		return err
	}
	if s.Listen.Peers != "" {
		if err := e.startPeerExchange(workCtx); err != nil { // before anything that sends to other instances
			ports.close(s.Listen)
			return err
		}
	}
	failed := e.servePorts(&ports)
	e.state.startStallDetection()
	e.followPlatform(workCtx)
	e.spawn(func() { e.pollHolds(workCtx) })
	e.spawn(func() { e.holds.DeleteExpired(workCtx, e.removesExpiredHolds) })
	e.spawn(func() { e.tickLoop(workCtx) })
	e.spawn(func() { e.streamStore.run(workCtx) })
	authorityCtx, stopAuthority := context.WithCancel(workCtx)
	defer stopAuthority()
	e.spawn(func() { newRoleController(e).run(authorityCtx) })
	if e.usage != nil {
		e.spawn(func() { newUsageDuty(e).run(authorityCtx) })
	}
	if cfg := e.cfg; cfg.Scaler != nil {
		e.spawn(func() { newScalingDuty(e).run(authorityCtx) })
	}
	e.spawn(func() { e.watchSettings(workCtx) })
	logline.Info("entry started", "instance", s.Instance.Name, "zone", s.Instance.Zone,
		"callers", s.Listen.Callers, "ready", s.Listen.Ready, "store", s.Store)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	stopAuthority() // releases the lease, so that another instance can order engines while requests still run here
	e.stop()
	e.cancelWork()
	e.goroutines.Wait()
	e.client.Close()
	e.tunnels.Close()
	logline.Info("entry stopped")
	return errors.Wrap(err, "serving")
}

// spawn runs f in a goroutine that Run waits for.
func (e *Entry) spawn(f func()) {
	e.goroutines.Add(1)
	go func() {
		defer e.goroutines.Done()
		f()
	}()
}

// tickLoop periodically decides on waiting requests, removes expired state and starts the probes of
// upstreams that are due.
func (e *Entry) tickLoop(ctx context.Context) {
	interval, backingOff := waitingTick, 0
	for platform.Sleep(ctx, interval) == nil {
		e.state.tick(time.Now())
		if n := e.state.backingOffCount(time.Now()); n != backingOff {
			e.metrics.setBackingOffUpstreams(n)
			backingOff = n
		}
		e.holds.Forget(time.Now())
		e.streams.forget()
		e.requestLog.tick(time.Now())
		e.retryReporter.report(boottime.Now(), e.state)
		e.guards.tick(time.Now())
		e.guards.checkBodyLimit(e.state.config.Load())
		e.probeUpstreams(ctx)
		e.probeLinks(ctx)
		switch {
		case e.state.waitingCount() > 0:
			interval = waitingTick
		case e.state.upstreamsListed():
			interval = idleTick
		default:
			interval = noUpstreamsTick
		}
	}
}

// idleTick is the interval of tickLoop while no request waits. noUpstreamsTick is the interval while
// this instance has no list of upstreams, and therefore can't have a request in its queue.
const (
	idleTick        = 50 * time.Millisecond
	noUpstreamsTick = 250 * time.Millisecond
)
