package controller

import (
	"context"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/process/authority"
	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/member"
)

// newMembers returns the membership service, which contains the hub of connections to
// peers.
func (c *Controller) newMembers(keys daemon.Keys) (*member.Service, error) {
	s := c.cfg.Settings
	hub := peer.HubConfig{
		Self: peer.Hello{
			Name: c.self.Name, Role: member.RoleController, Zone: c.self.Zone,
			PeerAddress: daemon.AdvertisedAddress(s.Peer, c.listeners.peers.Addr()),
			Incarnation: member.NewIncarnation(time.Now()),
		},
		SharedKey: []byte(keys.Peers),
		MutualTLS: s.Peer.Listen.TLS.ClientCAFile != "",
	}
	if s.Peer.Listen.TLS.Enabled() {
		config, err := s.Peer.Listen.TLS.Client(s.Peer.CAFile)
		if err != nil {
			return nil, err
		}
		hub.DialTLS = config
	}
	return member.NewService(member.ServiceConfig{
		Hub: hub,
		Core: member.Config{
			MaxLinks: s.Peer.MaxLinks,
			Seeds:    seeds(s.Peer.Seeds),
			Interval: time.Duration(s.Peer.HeartbeatMS) * time.Millisecond,
		},
		Handler: peerHandler{c},
	})
}

// peerHandler handles messages from peers.
type peerHandler struct{ c *Controller }

// PeerVersion implements member.Handler.
func (h peerHandler) PeerVersion(from string, applied uint64) {
	h.c.config.PeerVersion(from, applied)
}

// UseReceived implements member.Handler. It passes the demand to the role policy.
func (h peerHandler) UseReceived(r peer.UseReport) {
	select {
	case h.c.events <- func() { h.c.observeDemand(r.Demand) }:
	default: // the queue of the loop is full; drop the report, since a Handler must not block
	}
}

// UseDue implements member.Handler: a controller sends no requests.
func (h peerHandler) UseDue() *peer.UseReport { return nil }

// Receive implements member.Handler. It passes messages about the configuration to the
// distributor and answers explain requests.
func (h peerHandler) Receive(from peer.Hello, e peer.Envelope) *peer.Envelope {
	if h.c.config.Receive(from.Name, e) || e.Explain == nil {
		return nil
	}
	lines := h.c.explain.lines(e.Explain.Change)
	return &peer.Envelope{ExplainResponse: &peer.ExplainResponse{Lines: lines}}
}

// MembersChanged implements member.Handler.
func (h peerHandler) MembersChanged([]member.Member) { h.c.signalChange() }

// candidates returns the live controllers, including this one. They may acquire leases.
func (c *Controller) candidates() []authority.Candidate {
	var out []authority.Candidate
	for _, m := range c.members.Members() {
		if m.Role == member.RoleController && m.State == member.Live {
			out = append(out, authority.Candidate{Name: m.Name, Zone: m.Zone})
		}
	}
	return out
}

// explainFromPeers returns the lines about a change from all connected controllers,
// each with the name of the controller. It skips controllers that do not answer.
func (c *Controller) explainFromPeers(ctx context.Context, change string) []string {
	var lines []string
	for _, m := range c.members.Members() {
		if m.Role != member.RoleController || !m.Connected {
			continue
		}
		reply, err := c.members.Hub().Call(ctx, m.Name, peer.Envelope{Explain: &peer.ExplainRequest{Change: change}})
		if err != nil || reply.ExplainResponse == nil {
			continue
		}
		for _, line := range reply.ExplainResponse.Lines {
			lines = append(lines, m.Name+": "+line)
		}
	}
	return lines
}

// seeds returns the addresses that are dialed while no other daemon is known.
func seeds(hostPorts []string) []peer.Address {
	var out []peer.Address
	for _, hostPort := range hostPorts {
		out = append(out, peer.Address{HostPort: hostPort})
	}
	return out
}
