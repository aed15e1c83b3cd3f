package entry

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/holds"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/metrics"
)

const (
	// defaultBodyBytes bounds a body where the configuration doesn't.
	defaultBodyBytes = 4 << 20
	// defaultBodyTimeout bounds the reading of a body of a request without a time limit.
	defaultBodyTimeout = 30 * time.Second
	// defaultStartWait is how long a request of a route without an objective may wait
	// for a place.
	defaultStartWait = time.Second
	// refusedRetryAfter is told with refusals for which no better time is known: about
	// the time in which a lost connection or a missing configuration is back.
	refusedRetryAfter = 500 * time.Millisecond
	// tickEvery is how often waiting requests are looked at when nothing happens; it
	// bounds how late a refusal for want of time is.
	tickEvery = 10 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections. They are longer than
	// what configurations allow callers, who go by the configuration's limits.
	headerTimeout  = 15 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// Times of connections to upstreams: the network's delays are some ms.
	upstreamDialTimeout = 500 * time.Millisecond
	upstreamUserTimeout = 1500 * time.Millisecond
	upstreamIdleTimeout = 4 * time.Second
	upstreamKeepAlive   = time.Second
)

// Entry is one ragwort-entry process.
type Entry struct {
	cfg      Config
	state    *state
	client   *upstream.Services
	meters   *meters
	demand   *demand
	shared   *sharing // nil: nothing is shared with other instances
	holds    *holds.Keeper
	live     atomic.Pointer[liveSettings]
	rounds   rounds
	era      atomic.Uint64         // of the platform, as noted last
	eraKnown atomic.Bool           // of the first answer
	usage    *usageBook            // nil: usage isn't reported
	duties   atomic.Pointer[grant] // nil: this process doesn't hold them
	returns  rounds                // each ends when the platform comes back from an older copy
	log      *requestLog
	ahead    room                      // for what is read before callers take it
	lapsed   atomic.Pointer[time.Time] // when a KV cache was found to be gone last; nil: never

	exporter  *metrics.Exporter
	callers   *http.Server
	ready     *http.Server
	operators *http.Server

	reloads  chan os.Signal
	queueIDs atomic.Uint64 // given to requests so far
	stage    atomic.Int32
	running  daemon.Activity
	work     context.Context // ends when requests have, with what goes on beside them
	stopWork context.CancelFunc
	hardStop context.Context // ends when a planned stop reaches its bound
	stopHard context.CancelFunc
	loops    sync.WaitGroup
}

// New makes an entry process; Run serves.
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
		demand:  newDemand(),
		reloads: catchReloads(),
		log:     newRequestLog(cfg.Settings.Logging.LinesPerSecond),
		ahead:   room{most: int64(aheadShare * float64(cfg.Settings.Limits.MemoryMB<<20))},
	}
	e.live.Store(&liveSettings{bounds: cfg.Settings.Bounds, roles: cfg.Settings.Roles})
	if u := cfg.Settings.Usage; cfg.Duties != nil && u.WindowSeconds > 0 {
		e.usage = newUsageBook(u)
	}
	e.exporter = metrics.New("ragwort_entry", map[string]string{"zone": cfg.Settings.Instance.Zone})
	e.meters = newMeters(e.exporter.Scope())
	e.work, e.stopWork = context.WithCancel(context.Background())
	e.hardStop, e.stopHard = context.WithCancel(context.Background())
	e.holds = e.newHolds()
	if cfg.Engines != nil {
		cfg.Engines.OnAnswer(e.heardAside)
	}
	e.callers = e.server(e.callerHandler())
	e.ready = e.server(e.readyHandler())
	e.operators = e.server(e.operatorsHandler())
	return e
}

func (e *Entry) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0), // what concerns a request is in its log line
	}
}

// callerHandler serves every path of the callers' port.
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

// readyHandler answers the balancer.
func (e *Entry) readyHandler() http.Handler {
	router := newRouter()
	router.GET(e.cfg.ReadyPath, func(c echo.Context) error {
		if why := e.notReady(); why != "" {
			return c.String(http.StatusServiceUnavailable, why)
		}
		return c.String(http.StatusOK, "ready")
	})
	return router
}

// notReady tells why new callers should go elsewhere; empty: they may come.
func (e *Entry) notReady() string {
	why := e.givesNone()
	if why == noUpstreamsYet && e.shared != nil && e.shared.placer() != "" {
		return "" // another instance gives places
	}
	return why
}

// noUpstreamsYet is why an instance that doesn't know the upstreams gives no places.
const noUpstreamsYet = "no list of upstreams yet"

// givesNone tells why this instance can't give places; empty: it can.
func (e *Entry) givesNone() string {
	switch {
	case e.stage.Load() != stageServing:
		return "stopping"
	case e.state.config.Load() == nil:
		return "no configuration yet"
	case !e.state.upstreamsListed():
		return noUpstreamsYet
	}
	return ""
}

func (e *Entry) operatorsHandler() http.Handler {
	router := newRouter()
	router.GET("/metrics", echo.WrapHandler(e.exporter.Handler()))
	return router
}

// memoryShare is the part of the memory allowed at which the garbage collector works
// harder; the rest is for what it doesn't count, such as the buffers of sockets.
const memoryShare = 0.9

// Run serves until ctx ends, then stops gracefully and returns.
func (e *Entry) Run(ctx context.Context) error {
	s := e.cfg.Settings
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.MemoryMB<<20)))
	work := e.work
	defer e.stopWork()
	if s.Listen.Peers != "" {
		e.startSharing(work) // before anything that tells others
	}
	failed := make(chan error, 3)
	for _, p := range []struct {
		address string
		server  *http.Server
	}{{s.Listen.Callers, e.callers}, {s.Listen.Ready, e.ready}, {s.Listen.Operators, e.operators}} {
		if p.address == "" {
			continue
		}
		l, err := net.Listen("tcp", p.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", p.address)
		}
		e.loop(func() { failed <- e.listen(p.server, l) })
	}
	e.readPlatform(work)
	e.loop(func() { e.pollHolds(work) })
	e.loop(func() { e.holds.Clean(work, e.cleansHolds) })
	e.loop(func() { e.tickLoop(work) })
	authority, giveUp := context.WithCancel(work)
	defer giveUp()
	e.loop(func() { newHolder(e).run(authority) })
	if e.usage != nil {
		e.loop(func() { newUsageDuty(e).run(authority) })
	}
	if cfg := e.cfg; cfg.Scaler != nil {
		e.loop(func() { newScalingDuty(e).run(authority) })
	}
	e.loop(func() { e.watchSettings(work) })
	logline.Info("entry started", "instance", s.Instance.Name, "zone", s.Instance.Zone,
		"callers", s.Listen.Callers, "ready", s.Listen.Ready, "store", s.Store)
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	giveUp() // others may give orders while requests still run here
	e.stop()
	e.stopWork()
	e.loops.Wait()
	e.client.Close()
	logline.Info("entry stopped")
	return errors.Wrap(err, "serving")
}

func (e *Entry) listen(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (e *Entry) loop(f func()) {
	e.loops.Add(1)
	go func() {
		defer e.loops.Done()
		f()
	}()
}

// tickLoop refuses waiting requests whose time is over, and does what is due about
// once a second.
func (e *Entry) tickLoop(ctx context.Context) {
	every, resting := tickEvery, 0
	for platform.Sleep(ctx, every) == nil {
		e.state.tick(time.Now())
		if n := e.state.resting(time.Now()); n != resting {
			e.meters.restingUpstreams(n)
			resting = n
		}
		e.holds.Forget(time.Now())
		e.log.tick(time.Now())
		e.probeUpstreams(ctx)
		switch {
		case e.state.waiting() > 0:
			every = tickEvery
		case e.state.upstreamsListed():
			every = idleTick
		default:
			every = restTick
		}
	}
}

// idleTick is the pause when nothing waits, restTick where nothing can.
const (
	idleTick = 50 * time.Millisecond
	restTick = 250 * time.Millisecond
)
