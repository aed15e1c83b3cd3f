package entry

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
)

// occupy takes a port as another process does, and returns a function that frees it.
var occupy = map[string]func(address string) (free func(), err error){
	"udp": func(address string) (func(), error) {
		c, err := net.ListenPacket("udp4", address)
		return func() { c.Close() }, err
	},
	"tcp": func(address string) (func(), error) {
		l, err := net.Listen("tcp4", address)
		return func() { l.Close() }, err
	},
}

// TestInstanceIsNotReadyWithoutItsPeerPort guards against an instance that counts as ready although another
// process holds its port for other instances, as an earlier process does for a moment at a restart. Such an
// instance shared nothing with the others until its end. Here the port gets free after 300 ms.
func TestInstanceIsNotReadyWithoutItsPeerPort(t *testing.T) {
	for network, take := range occupy {
		t.Run(network, func(t *testing.T) {
			address := testport.Address(t)
			free, err := take(address)
			if err != nil {
				t.Fatal(err)
			}
			store := platform.New(platform.Config{})
			ctx, cancel := context.WithCancel(context.Background())
			var all []*Entry
			for _, name := range []string{"i-0", "i-1"} {
				at := address
				if len(all) > 0 {
					at = testport.Address(t)
				}
				e, exchange := newPeerTestEntryAt(t, name, "z1", at, store)
				e.peers = exchange
				e.spawn(func() { exchange.run(ctx) })
				all = append(all, e)
			}
			t.Cleanup(func() {
				cancel()
				for _, e := range all {
					awaitEnd(t, e)
				}
			})
			blocked, other := all[0], all[1]
			eventually(t, "the other instance is listed", func() bool { return other.peers.listsRead.Load() > 0 })
			for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if reason := blocked.notReadyReason(); reason != reasonNotListening {
					t.Fatalf("not ready because of %q, want %q", reason, reasonNotListening)
				}
				if objects, _, err := store.List(ctx, kindPeer); err != nil || len(objects) > 1 {
					t.Fatalf("%d instances listed (%v), want the other one at most", len(objects), err)
				}
				if _, candidate := blocked.leaseRank(time.Now()); candidate {
					t.Fatal("the instance is a candidate for the lease")
				}
			}
			free()
			eventually(t, "the instance is ready", func() bool { return blocked.notReadyReason() == "" })
			placer, clients := awaitPlacer(t, all)
			client := clients[0]
			client.peers.answerTimeout = func() time.Duration { return slowAnswerTimeout }
			_, _, held := acquireTestPlace(t, client, 10*time.Second)
			if held.placer != placer.peers.self.Address {
				t.Errorf("place decided on by %q, want %q", held.placer, placer.peers.self.Address)
			}
			if _, err := fetchConfig(ctx, address); err != nil {
				t.Errorf("no configuration from the instance: %v", err)
			}
			client.release(held)
		})
	}
}

// TestStopWhilePeerPortIsInUse checks that an instance stops that never got its port for other instances.
func TestStopWhilePeerPortIsInUse(t *testing.T) {
	address := testport.Address(t)
	free, err := occupy["udp"](address)
	if err != nil {
		t.Fatal(err)
	}
	defer free()
	e, exchange := newPeerTestEntryAt(t, "i-0", "z1", address, platform.New(platform.Config{}))
	e.peers = exchange
	ctx, cancel := context.WithCancel(context.Background())
	e.spawn(func() { exchange.run(ctx) })
	exchange.announceStop()
	cancel()
	awaitEnd(t, e)
}

// TestInvalidPeerAddressIsAnError guards against an instance that runs on with an address for other instances
// that it can never use. The error has to name the setting and its value.
func TestInvalidPeerAddressIsAnError(t *testing.T) {
	for name, address := range map[string]string{
		"no port":             "127.0.0.1",
		"port too large":      "127.0.0.1:70000",
		"any port":            "127.0.0.1:0",
		"any host":            "0.0.0.0:7000",
		"no host":             ":7000",
		"of another machine":  "192.0.2.1:7000",
		"not an IPv4 address": "[::1]:7000",
	} {
		t.Run(name, func(t *testing.T) {
			s := &settings.Entry{Instance: settings.Instance{Name: "i-0", Zone: "z1"}, Listen: settings.EntryListen{Peers: address}}
			s.SetDefaults()
			err := New(Config{Settings: s}).startPeerExchange(context.Background())
			if err == nil || !strings.Contains(err.Error(), "listen.peers") || !strings.Contains(err.Error(), address) {
				t.Errorf("error %v, want one with listen.peers and %s", err, address)
			}
		})
	}
}

// TestPortInUseIsNamed guards against an error that doesn't tell which setting has the address that can't be
// listened on. The ports that were opened before are closed again.
func TestPortInUseIsNamed(t *testing.T) {
	taken, callers := testport.Address(t), testport.Address(t)
	free, err := occupy["tcp"](taken)
	if err != nil {
		t.Fatal(err)
	}
	defer free()
	var ports listeners
	err = ports.open(settings.EntryListen{Callers: callers, Ready: taken})
	if err == nil || !strings.Contains(err.Error(), "listen.ready") || !strings.Contains(err.Error(), taken) {
		t.Errorf("error %v, want one with listen.ready and %s", err, taken)
	}
	freeCallers, err := occupy["tcp"](callers)
	if err != nil {
		t.Fatalf("the first port is still open: %v", err)
	}
	freeCallers()
}
