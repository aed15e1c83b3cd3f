package config

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Defaults of a DistributorConfig.
const (
	DefaultIsolatedAfter = 5 * time.Second
	DefaultCheckInterval = 500 * time.Millisecond
	DefaultMinBackoff    = 200 * time.Millisecond
	DefaultMaxBackoff    = 5 * time.Second
	// DefaultWatchIdleTimeout is how long a watch may deliver nothing, not even a bookmark,
	// before it is reopened because its connection may be dead.
	DefaultWatchIdleTimeout = 6 * time.Second
)

// Network is the interface of a Distributor to the connections to peers. Its methods
// must not block and must not call the Distributor before they return.
type Network interface {
	// Send queues a message for a connected peer.
	Send(to string, e peer.Envelope) error
	// Connected returns the names of the connected peers.
	Connected() []string
	// Candidates returns the live daemons that are not leaving, including this one.
	Candidates() []Candidate
	// SetApplied sets the version in force that this daemon reports to its peers.
	SetApplied(version uint64)
}

// DistributorConfig configures a Distributor. Zero durations take the defaults.
type DistributorConfig struct {
	Name    string // name of this daemon
	Zone    string // availability zone of this daemon
	Store   platform.Store
	Network Network // nil: this daemon has no peers and always watches the platform
	Core    Config

	IsolatedAfter time.Duration // a daemon to which no peer reports its version for this long watches the platform
	CheckInterval time.Duration // how often to check whether this daemon must watch
	MinBackoff    time.Duration // first delay between attempts to list or watch
	MaxBackoff    time.Duration // maximum delay between these attempts

	WatchIdleTimeout time.Duration // a watch that delivers nothing for this long is reopened
}

// Distributor keeps the newest configuration in force in this process. It does the
// I/O for a Core: it lists and watches the platform's objects while this daemon is a
// relay of its availability zone or receives nothing from peers, and it exchanges
// deltas with peers.
type Distributor struct {
	cfg     DistributorConfig
	current atomic.Pointer[Snapshot]
	ready   chan struct{} // closed with the first snapshot

	mu             sync.Mutex
	core           *Core
	lastPeerReport boottime.Time // when a peer last reported its version; zero: never
	listeners      []func(*Snapshot)
	watching       atomic.Bool

	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewDistributor returns a Distributor. It does not watch the platform until Start is
// called.
func NewDistributor(cfg DistributorConfig) *Distributor {
	cfg.IsolatedAfter = cmp.Or(cfg.IsolatedAfter, DefaultIsolatedAfter)
	cfg.CheckInterval = cmp.Or(cfg.CheckInterval, DefaultCheckInterval)
	cfg.MinBackoff = cmp.Or(cfg.MinBackoff, DefaultMinBackoff)
	cfg.MaxBackoff = cmp.Or(cfg.MaxBackoff, DefaultMaxBackoff)
	cfg.WatchIdleTimeout = cmp.Or(cfg.WatchIdleTimeout, DefaultWatchIdleTimeout)
	return &Distributor{cfg: cfg, core: New(cfg.Core), ready: make(chan struct{})}
}

// Current returns the snapshot in force, or nil before the first one.
func (d *Distributor) Current() *Snapshot { return d.current.Load() }

// Ready returns a channel that is closed once the first snapshot is in force.
func (d *Distributor) Ready() <-chan struct{} { return d.ready }

// Watching reports whether this daemon watches the platform.
func (d *Distributor) Watching() bool { return d.watching.Load() }

// OnInstall calls f with the current snapshot, if there is one, and then with each new
// snapshot, in version order. f must not block and must not call methods of the
// Distributor other than Current.
func (d *Distributor) OnInstall(f func(*Snapshot)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listeners = append(d.listeners, f)
	if s := d.Current(); s != nil {
		f(s)
	}
}

// Start starts the goroutine that lists and watches when necessary.
func (d *Distributor) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.superviseWatch(ctx)
	}()
}

// Close stops the goroutine that Start started and waits for its end. The snapshot stays
// in force.
func (d *Distributor) Close() {
	if d.cancel != nil {
		d.cancel()
	}
	d.wg.Wait()
}

// Receive handles a message from a peer. It reports whether the message was about the
// configuration.
func (d *Distributor) Receive(from string, e peer.Envelope) bool {
	switch {
	case e.Delta != nil:
		d.step(DeltaReceived{From: from, Delta: *e.Delta})
	case e.Snapshot != nil:
		d.step(SnapshotReceived{From: from, Snapshot: *e.Snapshot})
	case e.Fetch != nil:
		d.step(FetchReceived{From: from, Fetch: *e.Fetch})
	default:
		return false
	}
	return true
}

// PeerVersion handles the report of a connected peer about the version in force there.
func (d *Distributor) PeerVersion(from string, applied uint64) {
	d.mu.Lock()
	d.lastPeerReport = boottime.Now()
	d.mu.Unlock()
	d.step(PeerVersion{From: from, Applied: applied})
}

// step passes an event to the core and performs the returned actions. It reports
// whether the core requests a new list.
func (d *Distributor) step(e Event) (relist bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.core.Step(boottime.Now(), e) {
		relist = d.perform(a) || relist
	}
	return relist
}

// perform performs one action of the core. It reports whether that is a Relist, which the
// caller has to carry out. The caller holds d.mu.
func (d *Distributor) perform(a Action) (relist bool) {
	switch a := a.(type) {
	case Install:
		d.install(a.Snapshot)
	case SendDelta:
		d.sendDelta(a)
	case SendSnapshot:
		d.send(a.To, peer.Envelope{Snapshot: &a.Snapshot})
	case SendFetch:
		d.send(a.To, peer.Envelope{Fetch: &a.Fetch})
	case Relist:
		logline.Info("config_relist", "reason", a.Reason, "version", d.core.Version())
		return true
	}
	return false
}

// install makes s the current snapshot, announces its version to peers and calls the
// listeners. The caller holds d.mu.
func (d *Distributor) install(s *Snapshot) {
	previous := d.current.Swap(s)
	if previous == nil {
		close(d.ready)
	}
	logline.Debug("config_installed", "version", s.Version, "rejected", len(s.Rejected))
	if d.cfg.Network != nil {
		d.cfg.Network.SetApplied(s.Version)
	}
	for _, f := range d.listeners {
		f(s)
	}
}

func (d *Distributor) sendDelta(a SendDelta) {
	if a.To != "" {
		d.send(a.To, peer.Envelope{Delta: &a.Delta})
		return
	}
	if d.cfg.Network == nil {
		return
	}
	for _, to := range d.cfg.Network.Connected() {
		if to != a.Except {
			d.send(to, peer.Envelope{Delta: &a.Delta})
		}
	}
}

// send sends a message to a peer. If it cannot be sent, for example because the queue to
// the peer is full, it is dropped: from the next delta or heartbeat the peer detects that
// it lacks changes, and fetches them.
func (d *Distributor) send(to string, e peer.Envelope) {
	if d.cfg.Network == nil {
		return
	}
	if err := d.cfg.Network.Send(to, e); err != nil {
		logline.Debug("config_send_failed", "peer", to, "error", err)
	}
}

// mustWatch reports whether this daemon must watch the platform.
func (d *Distributor) mustWatch() bool {
	if d.cfg.Network == nil {
		return true
	}
	installed := d.Current() != nil
	return MustWatch(d.cfg.Name, d.cfg.Zone, installed, d.hasRecentPeer(), d.cfg.Network.Candidates())
}

// hasRecentPeer reports whether a peer reported its version within IsolatedAfter.
func (d *Distributor) hasRecentPeer() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastPeerReport != 0 && boottime.Now().Sub(d.lastPeerReport) <= d.cfg.IsolatedAfter
}

// superviseWatch starts and stops the watch as mustWatch requires, until ctx ends.
func (d *Distributor) superviseWatch(ctx context.Context) {
	tick := time.NewTicker(d.cfg.CheckInterval)
	defer tick.Stop()
	var stopWatch func()
	for ctx.Err() == nil {
		switch needed := d.mustWatch(); {
		case needed && stopWatch == nil:
			stopWatch = d.startWatch(ctx)
		case !needed && stopWatch != nil:
			stopWatch()
			stopWatch = nil
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	if stopWatch != nil {
		stopWatch()
	}
}

// startWatch starts the goroutine that lists and watches. The returned function stops the
// goroutine and waits for its end.
func (d *Distributor) startWatch(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	d.watching.Store(true)
	go func() {
		defer close(ended)
		d.listAndWatch(ctx)
	}()
	return func() {
		cancel()
		<-ended
		d.watching.Store(false)
	}
}

// listAndWatch lists, and then watches from the version of the list, until ctx ends.
// It lists again only if the watch cannot be resumed.
func (d *Distributor) listAndWatch(ctx context.Context) {
	retry := backoff{min: d.cfg.MinBackoff, max: d.cfg.MaxBackoff}
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			listed, err = d.list(ctx)
		}
		if err == nil && listed {
			err = d.watch(ctx, retry.reset)
			listed = err == nil || !(errors.Is(err, platform.ErrHistoryGone) || errors.Is(err, errRelist))
		}
		if ctx.Err() != nil {
			return
		}
		logline.Info("config_watch_interrupted", "error", err, "listed", listed)
		retry.sleep(ctx)
	}
}

// errRelist means that the core requested a new list.
var errRelist = errors.New("the configuration has to be listed again")

// list lists the configuration and passes the list to the core. It reports whether the
// watch may begin, and returns errRelist if the core requests another list.
func (d *Distributor) list(ctx context.Context) (bool, error) {
	l, err := list(ctx, d.cfg.Store)
	if err != nil {
		return false, err
	}
	if d.step(l) {
		return false, errRelist
	}
	return true, nil
}

// watch opens a watch at the core's position and passes its events to the core until an
// error occurs or the core requests a new list (errRelist). It calls progress for each
// event.
func (d *Distributor) watch(ctx context.Context, progress func()) error {
	w, err := d.cfg.Store.Watch(ctx, resource.WatchedKinds, d.position())
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	defer w.Close()
	for {
		e, err := d.nextEvent(ctx, w)
		if err != nil {
			return errors.Wrap(err, "watch")
		}
		progress()
		if d.step(WatchEvent{Event: e}) {
			return errRelist
		}
	}
}

// nextEvent waits for the next event of the watch, for WatchIdleTimeout at most.
func (d *Distributor) nextEvent(ctx context.Context, w platform.Watch) (platform.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.WatchIdleTimeout)
	defer cancel()
	return w.Next(ctx)
}

// position returns the store version after which the watch must begin.
func (d *Distributor) position() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Position()
}

// backoff is exponential backoff with jitter. The delay doubles with each sleep, from min
// up to max, until it is reset.
type backoff struct {
	min, max time.Duration
	delay    time.Duration // of the previous sleep, without jitter; zero: begin with min
}

// reset makes the next sleep begin with min again.
func (b *backoff) reset() { b.delay = 0 }

// sleep waits for a random time between half of the delay and the whole delay, or until
// ctx ends.
func (b *backoff) sleep(ctx context.Context) {
	b.delay = min(max(b.delay*2, b.min), b.max)
	jittered := b.delay/2 + rand.N(b.delay/2+1)
	select {
	case <-ctx.Done():
	case <-time.After(jittered):
	}
}
