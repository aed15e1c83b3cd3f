package member

import (
	"cmp"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Handler handles the events and messages that a Service does not handle itself. Its
// methods must not block. MembersChanged must not call methods of the configuration's
// Distributor except Current.
type Handler interface {
	// PeerVersion reports the configuration version in force at a connected peer.
	PeerVersion(from string, applied uint64)
	// UseReceived handles a use report of another gateway of this zone. Reports that
	// arrive several times are passed on once.
	UseReceived(r peer.UseReport)
	// UseDue is called when a use report is due. It returns this daemon's use since the
	// last call, or nil if there is nothing to report.
	UseDue() *peer.UseReport
	// Receive handles any other message. A non-nil result is sent back.
	Receive(from peer.Hello, e peer.Envelope) *peer.Envelope
	// MembersChanged reports that the set of members or their states changed. Calls do
	// not overlap.
	MembersChanged(members []Member)
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Hub     peer.HubConfig
	Core    Config // its Self is replaced by Hub.Self
	Handler Handler
}

// Service connects the hub of peer connections to the membership Core. It sends the
// heartbeats and the use reports. It implements config.Network and is safe for
// concurrent use.
type Service struct {
	hub      *peer.Hub
	handler  Handler
	self     peer.Hello
	links    int           // approximate limit of links, see Neighbors
	interval time.Duration // heartbeat interval

	mu              sync.Mutex
	core            *Core
	useReportRoutes *UseReportRoutes
	seen            Sequences
	sequence        uint64 // of the last use report of this daemon
	ticks           int    // number of heartbeat intervals so far
	useDue          int    // value of ticks at which the next use report is due

	deliverMu sync.Mutex // serializes calls of Handler.MembersChanged and Hub.SetLinks
	stop      chan struct{}
	stopOnce  sync.Once
	running   sync.WaitGroup
}

var (
	_ config.Network = (*Service)(nil)
	_ peer.Handler   = hubHandler{}
)

// NewService returns a Service. The caller must serve its Hub on a listener, call Start
// and finally call Close. It returns an error if the Handler is nil or the hub's
// configuration is invalid.
func NewService(cfg ServiceConfig) (*Service, error) {
	if cfg.Handler == nil {
		return nil, errors.New("member service: handler is nil")
	}
	cfg.Core.Self = cfg.Hub.Self
	s := &Service{
		handler:         cfg.Handler,
		self:            cfg.Hub.Self,
		links:           cmp.Or(cfg.Core.MaxLinks, DefaultMaxLinks),
		interval:        cmp.Or(cfg.Core.Interval, DefaultInterval),
		core:            New(cfg.Core),
		useReportRoutes: NewUseReportRoutes(cfg.Hub.Self, nil, DefaultMaxLinks),
		seen:            Sequences{},
		stop:            make(chan struct{}),
	}
	hub, err := peer.NewHub(cfg.Hub, hubHandler{s})
	if err != nil {
		return nil, err
	}
	s.hub = hub
	return s, nil
}

// Hub returns the hub of peer connections. The caller uses it to serve a listener and to
// call peers.
func (s *Service) Hub() *peer.Hub { return s.hub }

// Start starts the heartbeats.
func (s *Service) Start() {
	s.step(Tick{})
	s.running.Go(s.run)
}

// Close stops the heartbeats, closes the connections and waits for their goroutines.
func (s *Service) Close() {
	s.stopOnce.Do(func() { close(s.stop) })
	s.running.Wait()
	s.hub.Close()
}

func (s *Service) run() {
	tick := time.NewTicker(s.interval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
			s.step(Tick{})
			s.reportUse()
		}
	}
}

// SetInstances sets the platform's list of instances, by name. It is taken from the
// configuration snapshot in force.
func (s *Service) SetInstances(instances map[string]resource.Instance) {
	s.step(InstancesListed{Instances: instances})
}

// SetApplied reports the configuration version in force at this daemon to the peers.
func (s *Service) SetApplied(version uint64) { s.step(Applied{Version: version}) }

// SetLeaving reports to the peers that this daemon is stopping gracefully.
func (s *Service) SetLeaving() { s.step(Leave{}) }

// Members returns all known daemons including this one.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Members()
}

// Candidates implements config.Network. It returns the live daemons, without those that
// are leaving.
func (s *Service) Candidates() []config.Candidate {
	var out []config.Candidate
	for _, m := range s.Members() {
		if m.State == Live {
			out = append(out, config.Candidate{Name: m.Name, Zone: m.Zone})
		}
	}
	return out
}

// Connected returns the names of the connected peers.
func (s *Service) Connected() []string { return s.hub.Connected() }

// Send queues a message for a connected peer.
func (s *Service) Send(to string, e peer.Envelope) error { return s.hub.Send(to, e) }

// step passes an event to the core and performs the actions that it returns. If the
// members have changed, it computes the routes of use reports again.
func (s *Service) step(e Event) {
	s.mu.Lock()
	actions := s.core.Step(boottime.Now(), e)
	for _, a := range actions {
		if _, ok := a.(Changed); ok {
			s.useReportRoutes = NewUseReportRoutes(s.self, s.core.Members(), s.links)
		}
	}
	s.mu.Unlock()
	for _, a := range actions {
		s.perform(a)
	}
}

// perform performs an action. The caller must not hold mu, since Members locks it, which
// the Handler may call.
func (s *Service) perform(a Action) {
	switch a := a.(type) {
	case SendHeartbeat:
		s.send(a.To, peer.Envelope{Heartbeat: &a.Heartbeat})
	case SetLinks:
		s.setLinks()
	case PeerVersion:
		s.handler.PeerVersion(a.From, a.Applied)
	case Changed:
		s.deliverMu.Lock()
		defer s.deliverMu.Unlock()
		s.handler.MembersChanged(s.Members())
	}
}

// setLinks passes the core's current links to the hub. It reads them under deliverMu, so
// the last of several concurrent calls always passes the latest links.
func (s *Service) setLinks() {
	s.deliverMu.Lock()
	defer s.deliverMu.Unlock()
	s.mu.Lock()
	links := s.core.links
	s.mu.Unlock()
	s.hub.SetLinks(links)
}

func (s *Service) send(to string, e peer.Envelope) {
	if err := s.hub.Send(to, e); err != nil {
		logline.Debug("member_send_failed", "peer", to, "error", err)
	}
}

// reportUse sends this daemon's use report to its zone if one is due.
func (s *Service) reportUse() {
	if !s.useIsDue() {
		return
	}
	r := s.handler.UseDue()
	if r == nil {
		return
	}
	for _, to := range s.prepareUse(r) {
		s.send(to, peer.Envelope{Use: r})
	}
}

// useIsDue counts a heartbeat interval and reports whether a use report is due.
func (s *Service) useIsDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticks++
	return s.ticks >= s.useDue
}

// prepareUse sets the origin and sequence number of a report of this daemon and when the
// next one is due. It returns the daemons to which the report is sent, which relay it to
// the others.
func (s *Service) prepareUse(r *peer.UseReport) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	r.Origin = s.self.Name
	r.Sequence = s.sequence
	bytes := 0
	if data, err := peer.Encode(peer.Envelope{V: peer.ProtocolVersion, Use: r}); err == nil {
		bytes = len(data)
	}
	s.useDue = s.ticks + s.useReportRoutes.Period(bytes)
	return s.useReportRoutes.Next(r.Origin)
}

// relayUse relays a report of another daemon and passes it to the handler, unless it was
// received before.
func (s *Service) relayUse(r peer.UseReport) {
	s.mu.Lock()
	isNew := s.seen.Accept(r)
	next := s.useReportRoutes.Next(r.Origin)
	s.mu.Unlock()
	if !isNew {
		return
	}
	for _, to := range next {
		s.send(to, peer.Envelope{Use: &r})
	}
	s.handler.UseReceived(r)
}

// hubHandler handles the events of the hub for a Service.
type hubHandler struct{ *Service }

// Connected implements peer.Handler.
func (h hubHandler) Connected(p peer.Hello) { h.step(Connected{Peer: p}) }

// Disconnected implements peer.Handler.
func (h hubHandler) Disconnected(name string) { h.step(Disconnected{Name: name}) }

// Receive implements peer.Handler.
func (h hubHandler) Receive(from peer.Hello, e peer.Envelope) *peer.Envelope {
	switch {
	case e.Heartbeat != nil:
		h.step(HeartbeatReceived{From: from.Name, Heartbeat: *e.Heartbeat})
		return nil
	case e.Use != nil:
		h.relayUse(*e.Use)
		return nil
	default:
		return h.handler.Receive(from, e)
	}
}
