package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/caller"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/holds"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/member"
	"github.com/ragworttrestle/ragworttrestle/internal/process/metrics"
	"github.com/ragworttrestle/ragworttrestle/internal/process/ops"
	"github.com/ragworttrestle/ragworttrestle/internal/process/portguard"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/request/admit"
	"github.com/ragworttrestle/ragworttrestle/internal/request/claim"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
)

// Config configures a gateway. Store and Engine, if not nil, are used instead of the connections
// that Settings describe; they are meant for tests and for programs that embed a gateway.
type Config struct {
	Settings *settings.Gateway
	Store    platform.Store                               // nil: a client for Settings.Platform
	Engine   func(runner, address string) upstream.Engine // nil: HTTP clients
}

// Addresses holds the addresses that a running gateway listens on.
type Addresses struct {
	Callers   net.Addr
	Operators net.Addr
	Peers     net.Addr
}

// Gateway is a ragwort-gateway process.
type Gateway struct {
	cfg        Config
	listeners  listeners
	store      platform.Store
	closeStore func() // closes the store if New opened it

	metrics    *meters
	exporter   *metrics.Exporter
	explain    *explainRing
	dispatcher *dispatcher
	engines    *enginePool
	services   *upstream.Services
	poller     *poller
	config     *config.Distributor
	members    *member.Service
	keeper     *claim.KeeperService
	claims     claim.Requester
	holds      *holds.Keeper

	callers *caller.Server
	guard   *portguard.Port // of callers
	ops     *ops.Server

	stage          atomic.Int32    // stage of the graceful shutdown, one of stageServing to stageStopped
	inFlight       daemon.Activity // counts the requests in flight
	abortCtx       context.Context // canceled when draining times out; ends requests in flight
	abort          context.CancelFunc
	background     context.Context // context of background goroutines
	stopBackground context.CancelFunc
	goroutines     sync.WaitGroup // the goroutines that runBackground started
}

// New creates a gateway and opens its listeners, so that Addresses can be called before Run. Run
// must be called afterwards, because only it closes the listeners. New returns an error if the
// settings are invalid, a key can't be read, or a connection or port can't be opened.
func New(cfg Config) (*Gateway, error) {
	if err := cfg.Settings.Validate(); err != nil {
		return nil, err
	}
	keys, err := daemon.ReadKeys(cfg.Settings.Platform, cfg.Settings.Operators, cfg.Settings.Peer)
	if err != nil {
		return nil, err
	}
	g := &Gateway{cfg: cfg, explain: newExplainRing()}
	if err := g.openStore(keys); err != nil {
		return nil, err
	}
	if err := g.listeners.open(cfg.Settings); err != nil {
		g.closeStore()
		return nil, err
	}
	g.abortCtx, g.abort = context.WithCancel(context.Background())
	g.background, g.stopBackground = context.WithCancel(context.Background())
	if err := g.initPeerServices(keys); err != nil {
		g.listeners.close(cfg.Settings)
		g.closeStore()
		return nil, err
	}
	g.exporter = metrics.New("ragwort_gateway", map[string]string{"zone": cfg.Settings.Instance.Zone})
	g.metrics = newMeters(g.exporter.Scope())
	g.holds = g.newHolds()
	g.dispatcher = newDispatcher(cfg.Settings.Instance, cfg.Settings.Limits)
	g.engines = newEnginePool(cfg.Engine, 0)
	g.services = upstream.NewServices(upstream.HTTPOptions{})
	g.poller = newPoller(g)
	g.guard = newCallerGuard(cfg.Settings.Limits, g.exporter.Scope())
	g.callers = caller.NewServer(&http.Server{
		Handler:           g.callerHandler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0), // errors of requests are in their log lines
	}, g.guard.Guard)
	g.ops = ops.New(ops.Config{Source: opsSource{g}, Metrics: g.exporter.Handler(), Key: keys.Operators})
	return g, nil
}

// initPeerServices creates the services that communicate with peers: membership,
// distribution of the configuration, and claims.
func (g *Gateway) initPeerServices(keys daemon.Keys) error {
	s := g.cfg.Settings
	members, err := newMembers(g, s, keys.Peers, g.listeners.peers.Addr())
	if err != nil {
		return err
	}
	g.members = members
	g.config = config.NewDistributor(config.DistributorConfig{
		Name:    s.Instance.Name,
		Zone:    s.Instance.Zone,
		Store:   g.store,
		Network: members,
	})
	g.keeper = claim.NewKeeperService(claim.KeeperConfig{
		Name:        s.Instance.Name,
		NoncePrefix: platform.NewNonce(),
		Keep:        time.Duration(s.Limits.ClaimKeepSeconds) * time.Second,
	}, g.store, time.Duration(s.Platform.TimeoutMS)*time.Millisecond)
	g.claims = &claim.Client{Self: s.Instance.Name, Local: g.keeper, Peers: members.Hub(), LiveGateways: g.liveGateways}
	return nil
}

// openStore connects to the platform, unless Config.Store is set.
func (g *Gateway) openStore(keys daemon.Keys) error {
	g.closeStore = func() {}
	if g.cfg.Store != nil {
		g.store = g.cfg.Store
		return nil
	}
	client, err := daemon.OpenStore(g.cfg.Settings.Platform, g.cfg.Settings.Instance, keys.Platform)
	if err != nil {
		return err
	}
	g.store = client
	g.closeStore = client.Close
	return nil
}

// Addresses returns the addresses that the gateway listens on.
func (g *Gateway) Addresses() Addresses { return g.listeners.addresses() }

// snapshot returns the configuration in force, or nil before the first one.
func (g *Gateway) snapshot() *config.Snapshot { return g.config.Current() }

// install puts a newer configuration in force. Requests that have already started keep
// their snapshot.
func (g *Gateway) install(s *config.Snapshot) {
	g.dispatcher.install(time.Now(), s)
	g.engines.retain(s)
	g.poller.engines.retain(s)
	g.poller.install(g.background, s)
	g.members.SetInstances(s.Instances)
	g.metrics.version.Update(float64(s.Version))
}

// upstreamFailed counts a failed send towards the ejection of the upstream as an outlier, unless
// err shows that the upstream works.
func (g *Gateway) upstreamFailed(name string, err error) {
	if errors.Is(err, errUpstreamLeaving) {
		return // nothing was sent to it
	}
	if _, refused := upstream.RefusalCodeOf(err); refused {
		return // an engine that refuses a request is healthy
	}
	if g.dispatcher.upstreamFailed(time.Now(), name) {
		g.metrics.ejections.Inc(1)
		logline.Info("upstream ejected", "upstream", name, "error", err)
	}
}

// Run serves until ctx ends or the callers' or operators' server fails, then shuts down
// gracefully. All goroutines have ended when it returns. It returns the error of the server that
// failed, or nil.
func (g *Gateway) Run(ctx context.Context) error {
	g.config.OnInstall(g.install)
	failed := make(chan error, 3)
	g.runBackground(func(context.Context) { failed <- g.servePeers() })
	g.members.Start()
	g.config.Start()
	g.runBackground(g.queueLoop)
	g.runBackground(g.maintenanceLoop)
	g.runBackground(g.holds.Follow)
	g.runBackground(func(ctx context.Context) { g.holds.DeleteExpired(ctx, g.removesEndedHolds) })
	g.runBackground(func(context.Context) { failed <- g.ops.Serve(g.listeners.operators) })
	g.runBackground(func(context.Context) { failed <- g.serveCallers() })
	logline.Info("gateway started", "instance", g.cfg.Settings.Instance.Name, "zone", g.cfg.Settings.Instance.Zone,
		"callers", g.listeners.callers.Addr(), "operators", g.listeners.operators.Addr())
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	g.stop()
	return err
}

// servePeers accepts connections of peers. It returns nil if the server ended because of a shutdown.
func (g *Gateway) servePeers() error {
	err := g.members.Hub().Serve(g.listeners.peers)
	if g.stage.Load() != stageServing {
		return nil
	}
	return errors.Wrap(err, "peer.listen")
}

// runBackground runs f in a goroutine that shutdown waits for. The context of f ends
// when the gateway stops.
func (g *Gateway) runBackground(f func(ctx context.Context)) {
	g.goroutines.Add(1)
	go func() {
		defer g.goroutines.Done()
		f(g.background)
	}()
}

// serveCallers serves the callers' port. It returns nil if the server ended because of a shutdown.
func (g *Gateway) serveCallers() error {
	return errors.Wrap(g.callers.Serve(g.listeners.callers, g.listeners.callerTLS), "serve callers' port")
}

// queueLoop repeats the admission decisions every admit.TickInterval while calls wait in the queue.
func (g *Gateway) queueLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.dispatcher.queueWake:
		}
		for g.dispatcher.recheckQueue(time.Now()) > 0 {
			if sleep(ctx, admit.TickInterval) != nil {
				return
			}
		}
	}
}

// maintenanceLoop once a second updates the suspected runners and the gauges, and drops
// state of holds that is too old to count.
func (g *Gateway) maintenanceLoop(ctx context.Context) {
	for sleep(ctx, time.Second) == nil {
		now := time.Now()
		g.dispatcher.refreshSuspects(now)
		g.holds.Forget(now)
		g.metrics.running.Update(float64(g.inFlight.Count()))
		g.metrics.queued.Update(float64(g.dispatcher.queued()))
		g.guard.Sweep(now)
		g.guard.Report()
	}
}

// callerHandler returns the HTTP handler of the callers' port.
func (g *Gateway) callerHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	e.Use(g.requestMiddleware, g.routeByHost)
	e.POST(pathChat, g.completionHandler(endpointChat))
	e.POST(pathCompletion, g.completionHandler(endpointCompletion))
	e.GET("/v1/models", g.handleModels)
	e.Any("/*", g.handleService)
	return e
}
