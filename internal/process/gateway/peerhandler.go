package gateway

import (
	"net"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/member"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// peerHandler implements member.Handler: it handles membership changes and messages from peers,
// which are gateways and other instances.
type peerHandler struct{ g *Gateway }

var _ member.Handler = peerHandler{}

// newMembers creates the membership service, which holds the connections to peers. listenAddr is
// the address of the open peer port. It returns an error if the TLS files can't be loaded.
func newMembers(g *Gateway, s *settings.Gateway, sharedKey string, listenAddr net.Addr) (*member.Service, error) {
	tls := s.Peer.Listen.TLS
	hub := peer.HubConfig{
		Self: peer.Hello{
			Name:        s.Instance.Name,
			Role:        member.RoleGateway,
			Zone:        s.Instance.Zone,
			PeerAddress: daemon.AdvertisedAddress(s.Peer, listenAddr),
			Incarnation: member.NewIncarnation(time.Now()),
		},
		SharedKey: []byte(sharedKey),
		MutualTLS: tls.ClientCAFile != "",
	}
	if tls.Enabled() {
		dial, err := tls.Client(s.Peer.CAFile)
		if err != nil {
			return nil, err
		}
		hub.DialTLS = dial
	}
	core := member.Config{
		Interval: time.Duration(s.Peer.HeartbeatMS) * time.Millisecond,
		MaxLinks: s.Peer.MaxLinks,
	}
	for _, seed := range s.Peer.Seeds {
		core.Seeds = append(core.Seeds, peer.Address{HostPort: seed})
	}
	return member.NewService(member.ServiceConfig{Hub: hub, Core: core, Handler: peerHandler{g}})
}

// PeerVersion implements member.Handler.
func (h peerHandler) PeerVersion(from string, applied uint64) { h.g.config.PeerVersion(from, applied) }

// UseReceived implements member.Handler. It merges another gateway's usage report.
func (h peerHandler) UseReceived(r peer.UseReport) { h.g.dispatcher.mergePeerUse(time.Now(), &r) }

// UseDue implements member.Handler. It returns this gateway's usage since the previous report.
func (h peerHandler) UseDue() *peer.UseReport {
	r := h.g.dispatcher.useReport(time.Now())
	return &r
}

// Receive implements member.Handler. It returns the answer to an explain request; for other
// messages it returns nil.
func (h peerHandler) Receive(from peer.Hello, e peer.Envelope) *peer.Envelope {
	switch {
	case h.g.config.Receive(from.Name, e):
	case e.Crashes != nil:
		h.g.receiveCrashes(from.Name, e.Crashes)
	case e.Claim != nil:
		h.submitClaim(from.Name, e)
	case e.Explain != nil:
		return &peer.Envelope{ExplainResponse: &peer.ExplainResponse{Lines: h.g.explain.lines(e.Explain.Request)}}
	}
	return nil
}

// submitClaim passes a peer's claim request to the claim keeper. The keeper answers later, on
// another goroutine; the answer is then sent to the peer.
func (h peerHandler) submitClaim(from string, e peer.Envelope) {
	h.g.keeper.Submit(*e.Claim, func(a peer.ClaimResponse) {
		answer := peer.Envelope{Re: e.Call, ClaimResponse: &a}
		if err := h.g.members.Send(from, answer); err != nil {
			logline.Debug("claim answer not sent", "peer", from, "error", err)
		}
	})
}

// MembersChanged implements member.Handler. It updates the gateways between which account limits
// are split.
func (h peerHandler) MembersChanged(members []member.Member) {
	zone, all := gatewaysOf(members, h.g.cfg.Settings.Instance.Zone)
	h.g.dispatcher.setGateways(time.Now(), zone, all)
}

// gatewaysOf returns the names of the gateways in a zone that may be serving callers, and the
// total number of such gateways in all zones. Suspected gateways are included, because they may
// still serve callers although their peers can't reach them.
func gatewaysOf(members []member.Member, zone string) (names []string, total int) {
	for _, m := range members {
		if m.Role != member.RoleGateway || m.State == member.Gone {
			continue
		}
		total++
		if m.Zone == zone {
			names = append(names, m.Name)
		}
	}
	return names, total
}

// liveGateways returns the names of the live gateways in all zones. The keepers of claims are
// chosen from these.
func (g *Gateway) liveGateways() []string {
	var names []string
	for _, m := range g.members.Members() {
		if m.Role == member.RoleGateway && m.State == member.Live {
			names = append(names, m.Name)
		}
	}
	return names
}
