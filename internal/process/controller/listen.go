package controller

import (
	"net"

	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// listeners holds the listeners of a controller.
type listeners struct {
	operators net.Listener
	peers     net.Listener
}

// ports returns the ports to open, each with the settings field that configures it.
func (l *listeners) ports(s *settings.Controller) []daemon.Port {
	return []daemon.Port{
		{Field: "operators.listen", Settings: s.Operators.Listen, Listener: &l.operators},
		{Field: "peer.listen", Settings: s.Peer.Listen, Listener: &l.peers},
	}
}

func (l *listeners) addresses() Addresses {
	return Addresses{Operators: l.operators.Addr(), Peers: l.peers.Addr()}
}
