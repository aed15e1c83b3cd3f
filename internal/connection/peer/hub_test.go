package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/ragworttrestle/ragworttrestle/internal/testport"
)

const testTimeout = 15 * time.Second

// recorder is a Handler that records its calls and answers fetches.
type recorder struct {
	mu     sync.Mutex
	events []string      // "+name" for Connected, "-name" for Disconnected
	beats  []uint64      // of the received heartbeats, in order
	block  chan struct{} // if set, Receive waits until it is closed
}

func (r *recorder) record(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
}

func (r *recorder) Connected(h Hello)        { r.record("+" + h.Name) }
func (r *recorder) Disconnected(name string) { r.record("-" + name) }

func (r *recorder) Receive(from Hello, e Envelope) *Envelope {
	if r.block != nil {
		<-r.block
	}
	if e.Heartbeat != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.beats = append(r.beats, e.Heartbeat.Beat)
	}
	if e.Fetch != nil {
		return &Envelope{Delta: &ConfigDelta{Version: e.Fetch.KnownVersion + 1}}
	}
	return nil
}

func (r *recorder) count(event string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.events {
		if e == event {
			n++
		}
	}
	return n
}

// node is a Hub that listens, with its Handler.
type node struct {
	*Hub
	handler *recorder
	address Address
	served  chan struct{} // closed when Serve has returned
}

func startNode(t *testing.T, name string, change func(*HubConfig)) *node {
	t.Helper()
	return startNodeAt(t, name, testport.Address(t), change)
}

func startNodeAt(t *testing.T, name, at string, change func(*HubConfig)) *node {
	t.Helper()
	l, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	cfg := HubConfig{
		Self:      Hello{Name: name, Incarnation: uint64(time.Now().UnixNano())},
		SharedKey: []byte("key"), MinBackoff: 5 * time.Millisecond, MaxBackoff: 50 * time.Millisecond,
	}
	if change != nil {
		change(&cfg)
	}
	n := &node{handler: &recorder{}, address: Address{Name: name, HostPort: l.Addr().String()}, served: make(chan struct{})}
	if n.Hub, err = NewHub(cfg, n.handler); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(n.served)
		_ = n.Serve(l)
	}()
	t.Cleanup(n.stop)
	return n
}

func (n *node) stop() {
	n.Close()
	<-n.served
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timeout: %s", what)
}

func connected(a, b *node) func() bool {
	return func() bool {
		return slices.Contains(a.Connected(), b.address.Name) && slices.Contains(b.Connected(), a.address.Name)
	}
}

func heartbeat(beat uint64) Envelope {
	return Envelope{Heartbeat: &Heartbeat{Beat: beat}}
}

// Both sides dial at the same time. Only the connection that the side with the smaller name
// dialed must remain. Messages sent over it must arrive in order, and the handler must see
// the peer connected once.
func TestHubKeepsOneConnectionPerPair(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.SetLinks([]Address{{HostPort: b.address.HostPort}}) // without a name keepDialing does not wait before it dials
	b.SetLinks([]Address{{HostPort: a.address.HostPort}})
	kept := func(n *node, peer string) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		s := n.peers[peer]
		return s != nil && s.users == 1 && s.link != nil && s.link.dialer == "a"
	}
	eventually(t, "only the connection that a dialed", func() bool { return kept(a, "b") && kept(b, "a") })
	for beat := range uint64(100) {
		if err := a.Send("b", heartbeat(beat)); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "all messages", func() bool {
		b.handler.mu.Lock()
		defer b.handler.mu.Unlock()
		return len(b.handler.beats) == 100 && slices.IsSorted(b.handler.beats)
	})
	if a.handler.count("+b")-a.handler.count("-b") != 1 {
		t.Errorf("connects and disconnects of b: %v", a.handler.events)
	}
	a.stop()
	b.stop()
}

// Each of several concurrent calls must get its own answer. A call must fail at once if the
// peer is not connected.
func TestHubCall(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.SetLinks([]Address{{HostPort: b.address.HostPort}}) // the name is not known before the handshake
	eventually(t, "connected", connected(a, b))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for have := range uint64(20) {
		calls.Go(func() {
			answer, err := a.Call(ctx, "b", Envelope{Fetch: &ConfigFetch{KnownVersion: have}})
			if err != nil || answer.Delta == nil || answer.Delta.Version != have+1 {
				t.Errorf("answer %+v, error %v", answer, err)
			}
		})
	}
	calls.Wait()
	if _, err := a.Call(ctx, "nobody", Envelope{}); !errors.Is(err, ErrNotConnected) {
		t.Errorf("call to an unknown peer: %v", err)
	}
	b.stop()
	if _, err := a.Call(ctx, "b", Envelope{Fetch: &ConfigFetch{}}); !errors.Is(err, ErrNotConnected) {
		t.Errorf("call to a stopped peer: %v", err)
	}
}

// A peer with another shared key, without a key or with this daemon's own name must be
// refused, whichever side dials.
func TestHubRefusesUnauthenticatedPeers(t *testing.T) {
	tests := []struct {
		name   string
		change func(*HubConfig)
	}{
		{"another key", func(c *HubConfig) { c.SharedKey = []byte("other") }},
		{"no key", func(c *HubConfig) { c.SharedKey, c.MutualTLS = nil, true }},
		{"its own name", func(c *HubConfig) { c.Self.Name = "a" }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := startNode(t, "a", nil), startNode(t, "b", tt.change)
			for _, direction := range []struct{ from, to *node }{{a, b}, {b, a}} {
				_, _, err := direction.from.connect(context.Background(), direction.to.address)
				if err == nil {
					t.Errorf("%s to %s: connected", direction.from.address.Name, direction.to.address.Name)
				}
			}
			if len(a.Connected())+len(b.Connected()) != 0 {
				t.Errorf("connected: %v, %v", a.Connected(), b.Connected())
			}
		})
	}
}

// A Hub with neither a shared key nor mutual TLS would accept any peer, so it must not be
// created.
func TestHubConfigNeedsAuthentication(t *testing.T) {
	if _, err := NewHub(HubConfig{Self: Hello{Name: "a"}}, &recorder{}); err == nil {
		t.Error("created a hub without authentication")
	}
}

// When a peer stops, the hub must report the disconnect and dial again until the peer has
// restarted. When SetLinks no longer lists the peer, the hub must close the connection.
func TestHubReconnectsToARestartedPeer(t *testing.T) {
	a, b := startNode(t, "a", nil), startNode(t, "b", nil)
	a.SetLinks([]Address{b.address})
	eventually(t, "connected", connected(a, b))
	b.stop()
	eventually(t, "b is disconnected", func() bool { return a.handler.count("-b") == 1 })
	b = startNodeAt(t, "b", b.address.HostPort, nil)
	eventually(t, "connected again", connected(a, b))
	a.SetLinks(nil)
	eventually(t, "closed by SetLinks", func() bool { return len(b.Connected()) == 0 })
}

// A peer that does not read must not block the callers of Send. When the queue to the peer is
// full, further messages must be dropped and counted. A message above MaxMessageBytes must be
// refused.
func TestHubSendNeverBlocks(t *testing.T) {
	// A blocked reader answers no pings. It takes nine messages to fill the buffers of the connection,
	// which lasts 2 s on a machine with three times more processes than it can run. The ping interval
	// is long so that no ping closes the connection in that time.
	configure := func(c *HubConfig) { c.QueueMessages, c.PingInterval = 4, time.Hour }
	a, b := startNode(t, "a", configure), startNode(t, "b", configure)
	b.handler.block = make(chan struct{})
	unblock := sync.OnceFunc(func() { close(b.handler.block) })
	t.Cleanup(unblock) // runs before the nodes are stopped; stopping b waits for the blocked reader
	a.SetLinks([]Address{b.address})
	eventually(t, "connected", connected(a, b))
	random := make([]byte, MaxMessageBytes/2) // does not compress
	_, _ = rand.Read(random)
	large := Envelope{Claim: &ClaimRequest{BodyHash: random}}
	eventually(t, "a full queue", func() bool { return errors.Is(a.Send("b", large), ErrQueueFull) })
	if a.Stats().Dropped == 0 {
		t.Error("the drop is not counted")
	}
	unblock()
	large.Claim.KeyHash = random
	if err := a.Send("b", large); !errors.Is(err, ErrTooLarge) {
		t.Errorf("message above MaxMessageBytes: %v", err)
	}
}

// stallableListener is a listener whose connections discard all writes once stalled is
// closed.
type stallableListener struct {
	net.Listener
	stalled chan struct{}
}

// stallableConn is a connection of a stallableListener.
type stallableConn struct {
	net.Conn
	stalled chan struct{}
}

func (s stallableListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	return stallableConn{c, s.stalled}, err
}

func (c stallableConn) Write(p []byte) (int, error) {
	select {
	case <-c.stalled:
		return len(p), nil // discarded
	default:
		return c.Conn.Write(p)
	}
}

// After a network failure nothing arrives from a peer any more, not even a reset. The hub
// must notice by the pings that are not answered, and report the disconnect.
func TestHubDisconnectsUnresponsivePeer(t *testing.T) {
	frequentPings := func(c *HubConfig) { c.PingInterval, c.PingTimeout = 10*time.Millisecond, 200*time.Millisecond }
	a, b := startNode(t, "a", frequentPings), startNode(t, "b", nil)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stalled := make(chan struct{})
	go func() { _ = b.Serve(stallableListener{inner, stalled}) }()
	a.SetLinks([]Address{{Name: "b", HostPort: inner.Addr().String()}})
	eventually(t, "connected", connected(a, b))
	close(stalled)
	eventually(t, "b is disconnected", func() bool { return a.handler.count("-b") > 0 })
}

// With mutual TLS and no shared key, peers with a client certificate must connect, and a peer
// without one must be refused.
func TestHubMutualTLS(t *testing.T) {
	cert, pool := selfSigned(t)
	client := &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, ServerName: "peer"}
	mutual := func(c *HubConfig) { c.SharedKey, c.MutualTLS, c.DialTLS = nil, true, client }
	a := startNode(t, "a", mutual)
	b := startNode(t, "b", mutual)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	go func() { _ = b.Serve(tls.NewListener(inner, server)) }()
	at := Address{Name: "b", HostPort: inner.Addr().String()}
	a.SetLinks([]Address{at})
	eventually(t, "connected", connected(a, b))
	stranger := startNode(t, "c", func(c *HubConfig) {
		mutual(c)
		c.DialTLS = &tls.Config{RootCAs: pool, ServerName: "peer"}
	})
	if _, _, err := stranger.connect(context.Background(), at); err == nil {
		t.Error("connected without a client certificate")
	}
}

// selfSigned returns a new certificate for the name "peer", for servers and clients, and a pool
// that trusts it.
func selfSigned(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{"peer"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}
