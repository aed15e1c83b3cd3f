package entry

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
)

// startRelayPair returns an instance and a running one that it may ask for tunnels to an upstream. The relay doesn't know
// the first instance.
func startRelayPair(t *testing.T) (asker, relay *Entry, u *fleet.Upstream) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u = &fleet.Upstream{ID: "a", Service: "s", Slots: 8, Address: l.Addr().String()}
	store := platform.New(platform.Config{})
	asker, s := newPeerTestEntry(t, "i-1", "z1", store)
	relay, r := newPeerTestEntry(t, "i-2", "z1", store)
	ctx, cancel := context.WithCancel(context.Background())
	for e, exchange := range map[*Entry]*peerExchange{asker: s, relay: r} {
		e.peers = exchange
		e.updateFleet(func(now time.Time, f *fleet.Core) { f.Put(now, *u) })
		exchange.e.spawn(func() { exchange.receive(exchange.sockets.Load().datagrams) })
	}
	r.servePeers(ctx, r.sockets.Load().streams)
	t.Cleanup(func() {
		cancel()
		for _, exchange := range []*peerExchange{s, r} {
			exchange.sockets.Load().datagrams.Close()
			exchange.sockets.Load().streams.Close()
			exchange.e.goroutines.Wait()
		}
	})
	s.mu.Lock()
	s.core.SetListed(time.Now(), []peers.Peer{s.self, r.self})
	s.mu.Unlock()
	return asker, relay, u
}

// openTestTunnel opens a tunnel and closes it.
func openTestTunnel(e *Entry, u *fleet.Upstream) error {
	conn, _, err := e.openTunnel(context.Background(), u, false)
	if err == nil {
		conn.Close()
	}
	return err
}

// TestNewInstanceGetsTunnels guards against a new instance whose links are down and that others refuse tunnels for up to
// a minute, until they read the list of instances again.
func TestNewInstanceGetsTunnels(t *testing.T) {
	asker, _, u := startRelayPair(t)
	if err := openTestTunnel(asker, u); !errors.Is(err, errNoRelay) {
		t.Fatalf("error %v of a tunnel through an instance that doesn't know this one", err)
	}
	eventually(t, "a tunnel", func() bool { return openTestTunnel(asker, u) == nil })
}

// TestRelayHeedsWhatItKnowsOfUpstream checks that no connection to an upstream that leaves, or that asked for a backoff,
// leads through an instance that knows it, even if the instance that asks doesn't.
func TestRelayHeedsWhatItKnowsOfUpstream(t *testing.T) {
	for name, learn := range map[string]func(relay *Entry, u *fleet.Upstream){
		"leaving": func(relay *Entry, u *fleet.Upstream) {
			relay.state.markLeaving(time.Now(), time.Now(), u.Incarnation())
		},
		"backoff": func(relay *Entry, u *fleet.Upstream) {
			now := time.Now()
			relay.state.withTracker(now, func(tracker *place.Tracker) { tracker.Rejected(now, u.Incarnation(), time.Minute) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			asker, relay, u := startRelayPair(t)
			_ = openTestTunnel(asker, u) // introduces the asker
			eventually(t, "a tunnel", func() bool { return openTestTunnel(asker, u) == nil })
			learn(relay, u)
			if err := openTestTunnel(asker, u); !errors.Is(err, errNoRelay) {
				t.Errorf("error %v, want that no instance forwards connections", err)
			}
		})
	}
}

// TestStoppingRelayRefusesTunnels checks that an instance that stops takes no further tunnels, so that it can wait for the
// open ones.
func TestStoppingRelayRefusesTunnels(t *testing.T) {
	asker, relay, u := startRelayPair(t)
	_ = openTestTunnel(asker, u) // introduces the asker
	eventually(t, "a tunnel", func() bool { return openTestTunnel(asker, u) == nil })
	relay.stage.Store(stageLeaving)
	if err := openTestTunnel(asker, u); !errors.Is(err, errNoRelay) {
		t.Errorf("error %v, want that no instance forwards connections", err)
	}
}
