package controller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/member"
	"github.com/ragworttrestle/ragworttrestle/internal/process/metrics"
	"github.com/ragworttrestle/ragworttrestle/internal/process/ops"
	"github.com/ragworttrestle/ragworttrestle/internal/process/policy"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Config configures a Controller. Store, Engine and Auditor override what the
// settings configure, for tests and for programs that embed a controller.
type Config struct {
	Settings *settings.Controller
	Store    platform.Store                               // nil: a client for Settings.Platform
	Engine   func(runner, address string) upstream.Engine // nil: an HTTP client
	Auditor  Auditor                                      // nil: the audit trail in the store
}

// Addresses holds the addresses that a controller listens on.
type Addresses struct {
	Operators net.Addr
	Peers     net.Addr
}

const (
	maxConcurrentPolls = 16  // limit of concurrent polls of engine states
	eventQueueSize     = 256 // limit of queued functions that wait for the loop
	reconcileInterval  = time.Second
	storeTimeout       = 5 * time.Second
)

// Controller is one ragwort-controller process.
type Controller struct {
	cfg         Config
	self        settings.Instance
	incarnation string
	listeners   listeners
	store       platform.Store
	closeStore  func()
	auditor     Auditor

	exporter *metrics.Exporter
	meters   *meters
	explain  *explainLog
	config   *config.Distributor
	members  *member.Service
	ops      *ops.Server
	polls    *semaphore.Weighted

	events        chan func()     // functions for the loop to run, such as results of I/O
	changedSignal chan struct{}   // signals a newer configuration or membership
	ioCtx         context.Context // parent of the contexts of all I/O
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	stage         atomic.Int32 // stage of a graceful stop, see stageServing
	openOrders    atomic.Int32 // orders open in the zones that this process leads

	// The fields below may be accessed only by the loop.
	zones          map[string]*zone
	engines        map[string]*engine // by runner
	drains         drainMarks
	statuses       statuses
	runnerVersions map[string]uint64 // latest version of each Runner object, by runner
	roles          *policy.Core
	choices        map[string]roleChoice // by runner
	slotReads      []slotReadRequest     // requested since the last call of readSlots
	pruning        pruning
	reconcileAt    boottime.Time // when the zones are reconciled next; 0: at once
	stopping       bool          // a graceful stop has begun
	drainDeadline  boottime.Time // until when a graceful stop waits for open orders
}

// New validates the settings and returns a controller whose listeners are open, so
// that Addresses returns the actual ports. The caller must call Run, which serves
// requests on the listeners and closes them at its end.
func New(cfg Config) (*Controller, error) {
	s := cfg.Settings
	if err := s.Validate(); err != nil {
		return nil, err
	}
	keys, err := daemon.ReadKeys(s.Platform, s.Operators, s.Peer)
	if err != nil {
		return nil, err
	}
	c := &Controller{
		cfg: cfg, self: s.Instance, incarnation: uuid.NewString()[:8],
		explain: newExplainLog(), polls: semaphore.NewWeighted(maxConcurrentPolls),
		events: make(chan func(), eventQueueSize), changedSignal: make(chan struct{}, 1),
		zones: map[string]*zone{}, engines: map[string]*engine{}, choices: map[string]roleChoice{},
		drains: drainMarks{known: map[string]*drainMark{}, writing: map[string]bool{}, uncertainWrites: map[string]boottime.Time{}}, statuses: newStatuses(),
		pruning: pruning{dueAt: boottime.Now().Add(initialPruneDelay)},
		roles: policy.New(policy.Config{
			Origin:          s.Instance.Name,
			RoleChangePrice: s.Policy.RoleChangePrice,
			Horizon:         time.Duration(s.Policy.HorizonSeconds * float64(time.Second)),
		}),
	}
	c.ioCtx, c.cancel = context.WithCancel(context.Background())
	if err := c.open(keys); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// open creates the platform client and the servers, and opens the listeners.
func (c *Controller) open(keys daemon.Keys) error {
	s := c.cfg.Settings
	var err error
	if err = c.openStore(keys); err != nil {
		return err
	}
	if err = daemon.Listen(c.listeners.ports(s)...); err != nil {
		return err
	}
	c.exporter = metrics.New("ragwort_controller", map[string]string{"zone": c.self.Zone})
	c.meters = newMeters(c.exporter.Scope())
	if c.members, err = c.newMembers(keys); err != nil {
		return err
	}
	c.config = config.NewDistributor(config.DistributorConfig{
		Name: c.self.Name, Zone: c.self.Zone, Store: c.store, Network: c.members,
	})
	c.ops = ops.New(ops.Config{Source: opsSource{c}, Metrics: c.exporter.Handler(), Key: keys.Operators})
	c.openAudit()
	return nil
}

// openStore sets the store: the Store of the Config, or if that is nil a new client of
// the platform, which closeStore closes.
func (c *Controller) openStore(keys daemon.Keys) error {
	c.closeStore = func() {}
	if c.cfg.Store != nil {
		c.store = c.cfg.Store
		return nil
	}
	client, err := daemon.OpenStore(c.cfg.Settings.Platform, c.self, keys.Platform)
	if err != nil {
		return err
	}
	c.store, c.closeStore = client, client.Close
	return nil
}

// Addresses returns the addresses of the listeners.
func (c *Controller) Addresses() Addresses { return c.listeners.addresses() }

// Run serves until ctx ends or a server fails, then stops gracefully. All goroutines
// of the controller have ended when it returns.
func (c *Controller) Run(ctx context.Context) error {
	failed := make(chan error, 2)
	c.start(func() { failed <- c.ops.Serve(c.listeners.operators) })
	c.start(func() { failed <- c.members.Hub().Serve(c.listeners.peers) })
	c.members.Start()
	c.config.OnInstall(c.configInstalled)
	c.config.Start()
	stopped := make(chan struct{})
	c.start(func() { c.loop(stopped) })
	logline.Info("controller started", "instance", c.self.Name, "zone", c.self.Zone,
		"operators", c.listeners.operators.Addr(), "peers", c.listeners.peers.Addr())
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		err = errors.Wrap(err, "serve")
	}
	c.stop(stopped)
	return err
}

// start runs f in a goroutine that Run waits for.
func (c *Controller) start(f func()) {
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		f()
	}()
}

// runIO runs io in a goroutine and posts the function that it returns to the loop.
// The function is dropped if the I/O context has been canceled.
func (c *Controller) runIO(io func(ctx context.Context) func()) {
	c.start(func() {
		result := io(c.ioCtx)
		select {
		case c.events <- result:
		case <-c.ioCtx.Done():
		}
	})
}

// configInstalled passes the instances of a newer configuration to the membership
// service and signals the loop. The distributor calls it, so it must not block.
func (c *Controller) configInstalled(s *config.Snapshot) {
	c.meters.version.Update(float64(s.Version))
	c.members.SetInstances(s.Instances)
	c.signalChange()
}

// signalChange makes the loop apply the current configuration and membership. It does
// not block: a signal that the loop has not received yet covers later changes too.
func (c *Controller) signalChange() {
	select {
	case c.changedSignal <- struct{}{}:
	default:
	}
}

// loop runs the cores until a graceful stop is complete or the I/O context is
// canceled. It closes stopped when it returns.
func (c *Controller) loop(stopped chan<- struct{}) {
	defer close(stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for c.ioCtx.Err() == nil {
		select {
		case <-c.ioCtx.Done():
			return
		case event := <-c.events:
			event()
		case <-c.changedSignal:
			c.applyChange()
		case <-timer.C:
		}
		now := boottime.Now()
		c.tick(now)
		c.readSlots()
		if c.advanceStop() {
			return
		}
		timer.Reset(max(0, c.nextWake().Sub(boottime.Now())))
	}
}

// tick steps each core whose wake time has come. If reconcileAt has come, it also
// decides roles, reconciles the zones, writes statuses and prunes the audit trail.
func (c *Controller) tick(now boottime.Time) {
	for _, z := range c.zones {
		z.tick(now)
	}
	if now.Before(c.reconcileAt) {
		return
	}
	c.reconcileAt = now.Add(reconcileInterval)
	c.decideRoles()
	leasesHeld := 0
	for _, z := range c.zones {
		z.reconcile()
		if z.leads() {
			leasesHeld++
		}
	}
	c.meters.leasesHeld.Update(float64(leasesHeld))
	c.setRejections()
	c.writeStatuses()
	c.pruneAudit(now)
}

// nextWake returns when the loop has to run next if no event arrives before. It does
// not include the times of polls: a due poll starts at the next run of the loop, which
// is at most a reconcileInterval away.
func (c *Controller) nextWake() boottime.Time {
	wake := c.reconcileAt
	for _, z := range c.zones {
		wake = min(wake, z.nextWake())
	}
	return wake
}

// applyChange updates the zones, the engines and the ranks of this process for the
// leases to the current configuration and membership, and has the zones reconciled.
func (c *Controller) applyChange() {
	s := c.config.Current()
	if s == nil {
		return
	}
	c.runnerVersions = c.config.ObjectVersions(resource.KindRunner)
	c.updateZones(s)
	c.updateEngines(s)
	c.updateRanks()
	c.reconcileAt = 0
}
