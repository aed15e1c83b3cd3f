package entry

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/links"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/process/roles"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

const (
	// placerTick is how often a placer checks whether there is something to send. followerTick is the
	// interval at other instances that follow the upstreams. It is longer, as each check costs processor
	// time.
	placerTick   = 10 * time.Millisecond
	followerTick = 50 * time.Millisecond
	// idlePeerTick is the interval at instances that don't follow the upstreams, which are nearly all
	// instances of a large deployment.
	idlePeerTick = 250 * time.Millisecond
	// reportDelay is how long an event report (events of a place, for its placer) that isn't urgent is kept, so that
	// later event reports can be sent in the same message.
	reportDelay = 50 * time.Millisecond
)

// peerExchange exchanges datagrams with other instances. They contain, for example, the load at
// upstreams, and the place requests and answers about places that one instance decides on for requests of
// another.
type peerExchange struct {
	e               *Entry
	self            peers.Peer
	address         netip.AddrPort
	sockets         atomic.Pointer[peerSockets] // nil: not open; they are open before anything is exchanged, and stay so until the end
	placementClient *placementClient
	placementServer *placementServer
	answerTimeout   func() time.Duration // how long to wait for the answer of a placer

	crashes      broadcastQueue[quarantine.Crash]
	limits       broadcastQueue[place.UpstreamKey] // upstreams whose rate limits have changed
	limitedCount int                               // upstreams with rate limits, as last set in the metrics; used by run only
	usage        usageReports
	incarnation  uint64 // start time in microseconds

	startedAt     time.Time
	startFailed   atomic.Bool     // the platform didn't answer the last read of directories or of the list of instances
	listsRead     atomic.Int32    // number of lists of instances read so far
	directoryRead atomic.Bool     // the directory of the zone was read before the first list
	directory     peers.Directory // as last stored by this instance; used by followMembers only
	directoryEra  uint64          // of the platform when directory was stored
	stopped       chan struct{}   // closed when the exchange has ended

	following atomic.Bool // this instance has to follow the upstreams

	recheckUpstreams, recheckConfig chan struct{} // see recheckFollowing

	encodedConfig encodedConfig

	mu                  sync.Mutex
	core                *peers.Core
	relayChoice         links.Relays
	configVersions      *peers.ConfigVersions
	incarnationsAskedAt time.Time // when the placer was last asked for the state of upstreams
}

// startPeerExchange starts to exchange messages, until ctx ends. While the port is in use, this instance
// isn't ready. An address on which this machine can never listen is an error.
func (e *Entry) startPeerExchange(ctx context.Context) error {
	exchange, err := newPeerExchange(e)
	if err != nil {
		return err
	}
	e.peers = exchange
	e.spawn(func() { exchange.run(ctx) })
	return nil
}

// newPeerExchange creates an exchange and opens its sockets, unless their port is in use.
func newPeerExchange(e *Entry) (*peerExchange, error) {
	settings := e.cfg.Settings
	address, err := parsePeerAddress(settings.Listen.Peers)
	if err != nil {
		return nil, err
	}
	self := peers.Peer{Name: settings.Instance.Name, Zone: settings.Instance.Zone, Address: address.String(), Cores: float32(settings.Limits.Cores)}
	// The incarnation is the start time in microseconds. Ids of place requests count up from it. An instance
	// sends far fewer than a million messages a second, so ids don't repeat after a restart.
	incarnation := uint64(time.Now().UnixMicro())
	s := &peerExchange{
		e: e, self: self, address: address, core: peers.New(self, incarnation),
		placementClient: newPlacementClient(incarnation), placementServer: newPlacementServer(), configVersions: peers.NewConfigVersions(), incarnation: incarnation, startedAt: time.Now(), stopped: make(chan struct{}),
		recheckUpstreams: make(chan struct{}, 1), recheckConfig: make(chan struct{}, 1),
	}
	s.answerTimeout = s.estimatedAnswerTimeout
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

// run exchanges messages until ctx ends, once the sockets are open. Then it tells the availability zone that
// this instance has stopped, and removes the instance from the platform's list.
func (s *peerExchange) run(ctx context.Context) {
	if !s.awaitSockets(ctx) {
		close(s.stopped)
		return
	}
	sockets := s.sockets.Load()
	s.e.spawn(func() { s.receive(sockets.datagrams) })
	s.e.spawn(func() { s.followMembers(ctx) })
	s.servePeers(ctx, sockets.streams)
	for interval := placerTick; platform.Sleep(ctx, interval) == nil; {
		switch placing := s.sendUpdates(time.Now()); {
		case placing:
			interval = placerTick
		case s.following.Load():
			interval = followerTick
		default:
			interval = idlePeerTick
		}
		s.fetchNewerConfig(ctx, time.Now())
	}
	s.reportFinalUsage()
	s.copyAllRows()
	s.e.streamStore.handOver(true)
	s.mu.Lock()
	zone := s.core.ZoneAddresses()
	s.mu.Unlock()
	s.introduce(zone...)
	s.e.spawn(s.e.streamStore.finish)
	_ = sockets.datagrams.Close()
	close(s.stopped)
	removeCtx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	s.removeMember(removeCtx, s.self.Name)
}

// sendUpdates sends what is due: changes since the last messages, and messages that are repeated. It
// reports whether this instance acts as a placer.
func (s *peerExchange) sendUpdates(now time.Time) bool {
	s.expireGrants(now)
	s.flushAllReports()
	s.flushCrashes(now)
	s.reportUsage(now)
	s.updateRateLimits(now)
	s.queryIncarnations(now)
	s.copyDoubtfulRows()
	platformLost, ready := s.e.platformLost(now), s.e.cannotPlaceReason() == ""
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.SetPlatformLost(platformLost)
	s.core.SetReady(ready)
	s.following.Store(s.core.NeedsUpstreams(now))
	if to := s.core.ProbeTargets(now); len(to) > 0 {
		s.send(s.introduction(true), to...)
	}
	s.probeSuccessors(now)
	if !s.core.ActsAsPlacer(now) {
		s.e.state.clearPeerReports()
		return false
	}
	work, reads := s.e.state.takeOwnLoad(s.core.MostPlacersActive(now))
	s.core.QueueCacheUpdates(reads)
	demand := func() map[string]roles.Demand { return s.e.demand.perSecond(now) }
	if out := s.core.NextLoadReport(now, peers.Work{InFlight: work, Demand: demand}); out != nil {
		s.send(out.Message, out.To...)
	}
	return true
}

// isUnready reports whether others shouldn't ask this instance for places. An instance that lacks
// nothing but a list of upstreams, and only because nobody asks it for places, may be asked: it then
// starts to follow the upstreams.
func (s *peerExchange) isUnready() bool {
	reason := s.e.cannotPlaceReason()
	return reason != "" && (reason != reasonNoUpstreams || s.following.Load())
}

// maxUnconfirmedStart is how long a process may take until it has read whom it may ask. It then follows the
// upstreams if it may be asked for places itself.
const maxUnconfirmedStart = time.Second

// isStarting reports whether this instance isn't ready only because it is still reading the platform, so that others
// needn't do that in its place. It is not starting if it stops, or if the platform doesn't answer it.
func (s *peerExchange) isStarting() bool {
	if s.e.stage.Load() != stageServing || s.startFailed.Load() || s.e.state.platformUnreadable() {
		return false
	}
	return s.following.Load() || time.Since(s.startedAt) < maxUnconfirmedStart
}

// introduction returns a message that introduces this instance and contains the number of instances
// that it knows. replyWanted: receivers should introduce themselves, too. Callers hold mu.
func (s *peerExchange) introduction(replyWanted bool) peers.Message {
	return peers.Message{Sender: &s.self, ReplyWanted: replyWanted, Instances: s.core.Instances()}
}

// introduce introduces this instance to others.
func (s *peerExchange) introduce(to ...string) {
	s.mu.Lock()
	m := s.introduction(false)
	s.mu.Unlock()
	s.send(m, to...)
}

// placerRank returns the rank of this instance among the placers of all availability zones, which know
// the demand at all instances; ok is false if this instance isn't one of them.
func (s *peerExchange) placerRank(now time.Time) (rank int, ok bool) {
	if !s.isListening() {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Rank(now)
}

// isPlacer reports whether this instance is a placer by its rank.
func (s *peerExchange) isPlacer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.IsPlacer()
}

// instanceCount returns the assumed number of instances, among which limits for the whole deployment are
// divided.
func (s *peerExchange) instanceCount() int {
	if s == nil {
		return peers.AssumedInstances
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.AssumedInstances()
}

// totalDemand returns the demand at all instances together.
func (s *peerExchange) totalDemand(now time.Time) map[string]roles.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Demand(now, s.e.demand.perSecond(now))
}

// send sends a message. It adds what every message says about its sender: the version of its
// configuration, whether it is ready to decide on places, and whether it has lost the platform. An
// instance that is stopping or knows no upstreams would refuse requests that others can serve, and an
// instance that can't read the platform may have an outdated list of upstreams.
func (s *peerExchange) send(m peers.Message, to ...string) {
	sockets := s.sockets.Load()
	if sockets == nil {
		return // nobody is known yet
	}
	m.Unready = s.isUnready()
	m.Starting = m.Unready && s.isStarting()
	m.PlatformLost = s.e.platformLost(time.Now())
	m.Config = s.e.configVersion()
	data, err := peers.Encode(m)
	if err != nil {
		logline.Error(err, "nothing told")
		return
	}
	for _, address := range to {
		a, err := netip.ParseAddrPort(address)
		if err == nil {
			_, err = sockets.datagrams.WriteToUDPAddrPort(data, a)
		}
		if err != nil {
			logline.Debug("nothing told", "to", address, "error", err)
		}
	}
}

// receive handles the messages of other instances until the socket is closed.
func (s *peerExchange) receive(conn *net.UDPConn) {
	buf := make([]byte, peers.MaxMessageBytes)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			logline.Debug("no message of a peer", "error", err)
			continue
		}
		m, err := peers.Decode(buf[:n])
		if err != nil {
			logline.Debug("message of a peer passed over", "from", from, "error", err)
			continue
		}
		s.handleMessage(time.Now(), from.String(), &m)
	}
}

// handleMessage handles a message from the instance at an address.
func (s *peerExchange) handleMessage(now time.Time, from string, m *peers.Message) {
	s.mu.Lock()
	changed, reads := s.core.Receive(now, from, m)
	if len(m.PlaceRequests) > 0 {
		s.core.PlaceRequestReceived(now)
		if !s.following.Swap(true) {
			s.recheckFollowing()
		}
	}
	s.mu.Unlock()
	if m.ReplyWanted {
		s.introduce(from)
	}
	s.observeVersion(now, from, m.Config)
	s.handleEventReports(from, m.EventReports)
	s.handlePlaceRequests(now, from, m.PlaceRequests)
	s.handleAnswers(from, m.PlaceResponses)
	s.handleCrashes(now, from, append(m.Crashes, m.PartCrashes...))
	s.handleUsage(from, m)
	s.handleRateLimits(now, from, m)
	s.handleIncarnations(from, m)
	s.handleStreams(now, from, m)
	if !changed {
		return
	}
	s.e.state.withTracker(now, func(t *place.Tracker) {
		t.SetPeerLoad(now, from, m.Work())
		for i := range reads {
			t.PeerCacheUpdated(now, reads[i].CacheUpdate())
		}
	})
}
