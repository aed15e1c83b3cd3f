package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/tunnel"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

const (
	// relayConnectTimeout is how long a relay tries to connect to an upstream. It is shorter than the time limit for the
	// own link, as the request has been delayed by that already.
	relayConnectTimeout = 200 * time.Millisecond
	// tunnelTimeout limits the opening of a tunnel, the relay's connection to the upstream included.
	tunnelTimeout = 500 * time.Millisecond
	// maxTunnels limits the tunnels that this instance forwards at once. Each takes two connections and a buffer for each
	// direction.
	maxTunnels = 256
)

// errNoRelay means that no other instance forwards connections to an upstream now.
var errNoRelay = errors.New("no other instance forwards connections to the upstream")

// openTunnel opens a connection to an upstream through another instance, the relay. While it isn't known whether the own
// link is down, several instances are asked at once, otherwise one after the other. check says that only the upstream's
// reachability matters. An error matches tunnel.ErrUnreachable if no relay reaches the upstream either, and errNoRelay if
// none could be used.
func (e *Entry) openTunnel(ctx context.Context, u *fleet.Upstream, check bool) (net.Conn, string, error) {
	s := &relaySearch{e: e, upstream: u, check: check}
	candidates := e.peers.relays()
	if !e.links.isDown(u.Address) {
		// Only if none of several instances reaches the upstream is it down: a whole availability zone may be cut off.
		return s.askAll(ctx, candidates)
	}
	for i, relay := range candidates {
		result := s.dial(ctx, relay)
		switch {
		case result.err == nil:
			s.reached(relay)
			return result.conn, relay, nil
		case ctx.Err() != nil:
			return nil, "", ctx.Err()
		case errors.Is(result.err, tunnel.ErrUnreachable):
			// The relay may be cut off as well. The others are asked at once, as the request has waited long enough.
			return s.askAll(ctx, candidates[i+1:])
		}
	}
	return nil, "", s.noTunnel()
}

// relaySearch is a search for an instance that reaches an upstream.
type relaySearch struct {
	e        *Entry
	upstream *fleet.Upstream
	check    bool
	denials  []string // relays that don't reach the upstream
	lastErr  error    // of the last relay that couldn't be used; nil: none
}

// tunnelResult is the result of asking one relay.
type tunnelResult struct {
	relay string
	conn  net.Conn
	err   error
}

// askAll asks several relays at once and returns the first connection.
func (s *relaySearch) askAll(ctx context.Context, relays []string) (net.Conn, string, error) {
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel() // the first connection is enough
	results := make(chan tunnelResult, len(relays))
	for _, relay := range relays {
		s.e.spawn(func() { results <- s.request(askCtx, relay) })
	}
	for left := len(relays); left > 0; left-- {
		result := <-results
		if s.record(ctx, result); result.err == nil {
			s.reached(result.relay)
			s.e.spawn(func() { closeTunnels(results, left-1) })
			return result.conn, result.relay, nil
		}
	}
	if ctx.Err() != nil {
		return nil, "", ctx.Err()
	}
	return nil, "", s.noTunnel()
}

// closeTunnels closes the connections among the next n results.
func closeTunnels(results <-chan tunnelResult, n int) {
	for range n {
		if result := <-results; result.err == nil {
			_ = result.conn.Close() // nothing was sent
		}
	}
}

// dial asks one relay and records the result.
func (s *relaySearch) dial(ctx context.Context, relay string) tunnelResult {
	result := s.request(ctx, relay)
	s.record(ctx, result)
	return result
}

// request asks one relay.
func (s *relaySearch) request(ctx context.Context, relay string) tunnelResult {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	target := tunnel.Target{Upstream: string(s.upstream.Incarnation()), Address: s.upstream.Address, Check: s.check}
	conn, err := s.e.tunnels.Dial(ctx, relay, target)
	return tunnelResult{relay: relay, conn: conn, err: err}
}

// record records what a result shows about its relay.
func (s *relaySearch) record(ctx context.Context, r tunnelResult) {
	switch {
	case r.err == nil || ctx.Err() != nil || errors.Is(r.err, tunnel.ErrUnknown):
	case errors.Is(r.err, tunnel.ErrUnreachable):
		s.denials = append(s.denials, r.relay)
	default:
		s.lastErr = r.err
		s.e.peers.relayFailed(r.relay)
		if errors.Is(r.err, tunnel.ErrStranger) {
			s.e.peers.introduce(r.relay) // a new instance isn't known everywhere yet
		}
	}
}

// reached records that a relay reaches the upstream. The relays that don't reach it have links that are down, too.
func (s *relaySearch) reached(relay string) {
	s.e.peers.relayWorked(relay)
	for _, denial := range s.denials {
		s.e.peers.relayFailed(denial)
	}
	s.e.links.relayed(s.upstream, relay)
}

// noTunnel records that no relay reaches the upstream, or that none could be used, and returns the error.
func (s *relaySearch) noTunnel() error {
	switch {
	case len(s.denials) > 0:
		s.e.links.unreachable(s.upstream.Address)
		return errors.Wrapf(tunnel.ErrUnreachable, "%d instances", len(s.denials))
	case s.lastErr != nil:
		return errors.Wrap(errNoRelay, s.lastErr.Error())
	}
	return errNoRelay
}

// reachesThroughRelay reports whether another instance reaches an upstream.
func (e *Entry) reachesThroughRelay(ctx context.Context, u *fleet.Upstream) bool {
	conn, _, err := e.openTunnel(ctx, u, true)
	if err != nil {
		return false
	}
	_ = conn.Close() // only its opening mattered
	return true
}

// relays returns the addresses of instances to ask for a tunnel, in this order.
func (s *peerExchange) relays() []string {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	zone, others := s.core.RelayCandidates()
	return s.relayChoice.Choose(time.Now(), zone, others, rand.Uint64())
}

// knowsOthers reports whether this instance knows any other one.
func (s *peerExchange) knowsOthers() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Instances() > 1
}

func (s *peerExchange) relayWorked(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayChoice.Worked(address)
}

func (s *peerExchange) relayFailed(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayChoice.Failed(time.Now(), address)
}

// serveTunnel connects another instance to an upstream. Only instances are served, and they reach only upstreams. The
// status is 502 if this instance doesn't reach the upstream, 404 if it doesn't know it as one to use.
func (s *peerExchange) serveTunnel(w http.ResponseWriter, r *http.Request) {
	e := s.e
	target, err := tunnel.ParseTarget(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.isInstance(r.RemoteAddr) {
		http.Error(w, "tunnels are for instances only", http.StatusForbidden)
		return
	}
	address, usable := e.state.tunnelAddress(time.Now(), fleet.Incarnation(target.Upstream), target.Address)
	if !usable {
		http.Error(w, "no upstream to use", http.StatusNotFound)
		return
	}
	e.tunnelsServed.Begin()
	defer e.tunnelsServed.End()
	// The stage is checked after Begin, so that a graceful stop waits for each tunnel that isn't refused.
	if e.stage.Load() != stageServing || e.tunnelsServed.Count() > maxTunnels {
		http.Error(w, "no further tunnels", http.StatusServiceUnavailable)
		return
	}
	if e.links.isDown(address) && !e.links.mayTry(address) { // a tunnel never leads through two instances
		http.Error(w, "the link of this instance is down", http.StatusServiceUnavailable)
		return
	}
	conn, err := upstream.Connect(r.Context(), address, upstream.HTTPOptions{
		DialTimeout: relayConnectTimeout, UserTimeout: upstreamUserTimeout, KeepAlive: upstreamKeepAlive,
	})
	if err != nil {
		s.refuseUnreachable(w, r, target, address, err)
		return
	}
	if err := tunnel.Serve(e.hardStopCtx, w, r, conn); err != nil {
		logline.Debug("tunnel ended", "from", r.RemoteAddr, "upstream", target.Upstream, "error", err)
	}
}

// refuseUnreachable responds that this instance doesn't reach an upstream. Whether that is due to its own link is found
// out in the background, so that later requests for tunnels get the right answer.
func (s *peerExchange) refuseUnreachable(w http.ResponseWriter, r *http.Request, target tunnel.Target, address string, err error) {
	logline.Info("no tunnel to an upstream", "from", r.RemoteAddr, "upstream", target.Upstream, "error", err)
	http.Error(w, "the upstream isn't reached", http.StatusBadGateway)
	// A check must not cause another one, or instances would ask each other for ever.
	if target.Check || !isLinkFailure(err) || !s.e.links.inDoubt() {
		return
	}
	u := fleet.Upstream{ID: target.Upstream, Address: address}
	s.e.links.failed(address)
	s.e.spawn(func() { s.e.confirmLinkFailure(&u) })
}

// confirmLinkFailure finds out whether a link failed or its upstream is down: it asks another instance.
func (e *Entry) confirmLinkFailure(u *fleet.Upstream) {
	if !e.reachesThroughRelay(e.workCtx, u) {
		e.links.unreachable(u.Address)
	}
}

// isInstance reports whether a remote address is that of a known instance, whatever its port.
func (s *peerExchange) isInstance(remote string) bool {
	a, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.KnowsHost(a.Addr().Unmap())
}

// tunnelAddress returns where to connect a tunnel to. With a list of upstreams, that is the address of a listed one;
// usable is false if the upstream isn't listed. Without a list, it is the address that the other instance named. What
// this instance knows binds tunnels, too: an upstream that is leaving or backing off isn't usable.
func (s *state) tunnelAddress(now time.Time, incarnation fleet.Incarnation, named string) (address string, usable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, leaving := s.fleet.Listed(incarnation); leaving || s.tracker.BackoffLeft(now, incarnation) > 0 {
		return "", false
	}
	if !s.listed {
		return named, true
	}
	return s.fleet.Address(incarnation)
}
