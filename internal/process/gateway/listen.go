package gateway

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/caller"
	"github.com/ragworttrestle/ragworttrestle/internal/process/budget"
	"github.com/ragworttrestle/ragworttrestle/internal/process/daemon"
	"github.com/ragworttrestle/ragworttrestle/internal/process/portguard"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
)

// Timeouts of connections to callers.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// maxHeadBytes limits the head of a request.
const maxHeadBytes = 64 << 10

// newCallerGuard returns the guard of the callers' port.
func newCallerGuard(l settings.Limits, scope tally.Scope) *portguard.Port {
	total := portguard.Limits(l.MemoryMB, portguard.CallerMemoryShare, portguard.Descriptors(l.Descriptors), portguard.CallerDescriptorShare)
	return portguard.New("callers", total, callerLimits, scope)
}

// callerLimits returns the limits on a single caller.
func callerLimits() budget.CallerLimits {
	return budget.CallerLimits{HeadBytes: maxHeadBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// listeners holds the open ports of a gateway: for callers, operators and peers.
type listeners struct {
	callers   *caller.Listener
	callerTLS *tls.Config // nil: plain TCP
	operators net.Listener
	peers     net.Listener
}

// open opens all ports or none. The error names the setting of a port that can't be opened.
func (l *listeners) open(s *settings.Gateway) error {
	var err error
	if l.callerTLS, err = s.Listen.TLS.Server(); err != nil {
		return errors.Wrap(err, "listen")
	}
	if l.callers, err = caller.Listen(s.Listen.Address); err != nil {
		return errors.Wrap(err, "listen")
	}
	if err = daemon.Listen(l.ports(s)...); err != nil {
		l.callers.Close()
	}
	return err
}

// close closes all ports.
func (l *listeners) close(s *settings.Gateway) {
	l.callers.Close()
	daemon.Close(l.ports(s)...)
}

// ports describes the other ports than the callers' for daemon.Listen, which sets the listeners. Field names
// the setting in errors.
func (l *listeners) ports(s *settings.Gateway) []daemon.Port {
	return []daemon.Port{
		{Field: "operators.listen", Settings: s.Operators.Listen, Listener: &l.operators},
		{Field: "peer.listen", Settings: s.Peer.Listen, Listener: &l.peers},
	}
}

// addresses returns the addresses of the open ports.
func (l *listeners) addresses() Addresses {
	return Addresses{Callers: l.callers.Addr(), Operators: l.operators.Addr(), Peers: l.peers.Addr()}
}
