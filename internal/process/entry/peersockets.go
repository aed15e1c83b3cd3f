package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/caller"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/tunnel"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// fieldPeers is the settings field with the address at which other instances reach this one.
const fieldPeers = "listen.peers"

// peerSockets are the sockets for other instances. Both have the address of the instance.
type peerSockets struct {
	datagrams *net.UDPConn
	streams   net.Listener // where other instances get the configuration, and connections to upstreams
}

// openPeerSockets opens both sockets or none.
func openPeerSockets(address netip.AddrPort) (peerSockets, error) {
	datagrams, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return peerSockets{}, err
	}
	streams, err := net.Listen("tcp4", address.String())
	if err != nil {
		_ = datagrams.Close()
		return peerSockets{}, err
	}
	return peerSockets{datagrams: datagrams, streams: streams}, nil
}

// parsePeerAddress returns the address in listen.peers. Other instances must be able to dial it, so it has
// to have an IPv4 number and a port.
func parsePeerAddress(text string) (netip.AddrPort, error) {
	resolved, err := net.ResolveUDPAddr("udp4", text)
	if err != nil {
		return netip.AddrPort{}, errors.Wrapf(err, "%s %q", fieldPeers, text)
	}
	address := resolved.AddrPort()
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	if !address.Addr().IsValid() || address.Addr().IsUnspecified() || address.Port() == 0 {
		return netip.AddrPort{}, errors.Errorf("%s %q: other instances need a host and a port to dial", fieldPeers, text)
	}
	return address, nil
}

// isAddressError reports whether an address can't be listened on until the settings or the machine change.
// A port in use isn't such an error: an earlier process may hold it for a moment.
func isAddressError(err error) bool {
	return errors.Is(err, unix.EADDRNOTAVAIL) || errors.Is(err, unix.EACCES)
}

// listen opens the sockets for other instances, unless they are in use. It returns an error if the address
// itself is invalid.
func (s *peerExchange) listen() error {
	sockets, err := openPeerSockets(s.address)
	if err == nil {
		s.setSockets(&sockets)
		return nil
	}
	if isAddressError(err) {
		return errors.Wrapf(err, "%s %q", fieldPeers, s.address)
	}
	s.setSockets(nil)
	logline.Error(err, "no exchange with other instances", "setting", fieldPeers, "address", s.address,
		"then", "this instance isn't ready and tries again")
	return nil
}

// awaitSockets tries to open the sockets until it succeeds or ctx ends. It reports whether they are open.
func (s *peerExchange) awaitSockets(ctx context.Context) bool {
	startedAt, attempts := time.Now(), 0
	for pause := minRetryPause; s.sockets.Load() == nil; pause = min(retryPauseGrowth*pause, maxRetryPause) {
		if platform.Sleep(ctx, addJitter(pause)) != nil {
			return false
		}
		attempts++
		sockets, err := openPeerSockets(s.address)
		if err != nil {
			logline.Debug("no exchange with other instances", "setting", fieldPeers, "address", s.address, "error", err)
			continue
		}
		s.setSockets(&sockets)
		logline.Info("exchange with other instances from now on", "setting", fieldPeers, "address", s.address,
			"after", time.Since(startedAt), "attempts", attempts)
	}
	return true
}

// setSockets sets the open sockets; nil: none are open.
func (s *peerExchange) setSockets(sockets *peerSockets) {
	s.sockets.Store(sockets)
	s.e.metrics.setPeersReachable(sockets != nil)
}

// isListening reports whether other instances can reach this one.
func (s *peerExchange) isListening() bool { return s.sockets.Load() != nil }

// servePeers serves the configuration and tunnels to other instances until ctx ends.
func (s *peerExchange) servePeers(ctx context.Context, l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configPath, s.sendConfig)
	mux.HandleFunc("GET "+tunnel.Path, s.serveTunnel)
	settings := newServer(mux)
	settings.ConnContext = detectDeadPeer
	server := caller.NewServer(settings, s.e.guards.peers.Guard)
	s.e.spawn(func() {
		if err := serveListener(server, l); err != nil {
			logline.Error(err, "other instances aren't served any more")
		}
	})
	context.AfterFunc(ctx, server.Close)
}

// Timeouts of connections of other instances. An instance that doesn't read for long, as its caller doesn't, must not
// lose the connection, so peerUserTimeout is as long as callerWriteTimeout.
const (
	peerUserTimeout = callerWriteTimeout
	peerKeepAlive   = time.Second
)

// detectDeadPeer makes a connection end if the other instance has lost power or network.
func detectDeadPeer(ctx context.Context, c net.Conn) context.Context {
	if err := upstream.DetectDead(c, peerUserTimeout, peerKeepAlive); err != nil {
		logline.Debug("connection of a peer without timeouts", "error", err)
	}
	return ctx
}
