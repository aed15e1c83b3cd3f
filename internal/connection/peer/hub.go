package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// Defaults of a HubConfig.
const (
	DefaultQueueMessages = 256
	DefaultPingInterval  = 5 * time.Second
	DefaultPingTimeout   = 5 * time.Second
	DefaultMinBackoff    = 100 * time.Millisecond
	DefaultMaxBackoff    = 5 * time.Second
	DefaultMaxAccepted   = 256
)

// endpointPath is the URL path of the WebSocket endpoint.
const endpointPath = "/peer"

// Limits on connections before the peer has shown that it has the key.
const (
	headerTimeout      = 5 * time.Second // for the headers of its HTTP request
	idleTimeout        = 5 * time.Second // after a request that was refused
	maxHeaderBytes     = 16 << 10
	maxUnauthenticated = 64 // connections; further ones wait to be accepted
)

// Errors of a Hub. Test for them with errors.Is.
var (
	ErrNotConnected = errors.New("peer not connected")
	ErrQueueFull    = errors.New("queue to the peer is full")
	ErrClosed       = errors.New("hub is closed")
)

// Address is the address at which a peer listens.
type Address struct {
	Name     string // name of the peer; empty: not known yet
	HostPort string // host:port
}

// HubConfig configures a Hub. Zero numbers and durations take the defaults.
type HubConfig struct {
	Self      Hello       // sent to peers; Name and Incarnation are required
	SharedKey []byte      // authenticates peers; may be empty only with MutualTLS
	DialTLS   *tls.Config // for outgoing connections; nil: plain TCP
	MutualTLS bool        // the listener requires client certificates, which replace the shared key

	QueueMessages int           // capacity of the send queue of each connection
	MaxAccepted   int           // maximum number of open connections that peers dialed
	PingInterval  time.Duration // interval between pings on each connection
	PingTimeout   time.Duration // a connection is closed if a ping is not answered within this time
	MinBackoff    time.Duration // first delay between attempts to connect
	MaxBackoff    time.Duration // maximum delay between attempts to connect
}

// Hub manages the connections of this daemon to its peers. There is at most one connection
// to each peer. If both sides dial at the same time, the connection that the side with the
// smaller name dialed is kept.
type Hub struct {
	cfg      HubConfig
	handler  Handler
	client   *http.Client
	counters counters
	calls    atomic.Uint64

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu           sync.Mutex
	closed       bool
	peers        map[string]*peerState          // by peer name
	dialers      map[Address]context.CancelFunc // stops the dialer of an address
	pendingCalls map[uint64]pendingCall         // by call number
	accepted     int                            // number of open connections that peers dialed
	servers      []*http.Server
}

// peerState is the state of one peer, shared by its connections while one replaces another.
type peerState struct {
	deliverMu            sync.Mutex // serializes the calls of the handler for this peer
	connectedIncarnation uint64     // incarnation last passed to Handler.Connected; 0: not connected; guarded by deliverMu
	link                 *link      // guarded by Hub.mu; nil: not connected
	users                int        // connections whose goroutines use this state; guarded by Hub.mu
}

// NewHub returns a Hub that delivers the events and messages of its connections to
// handler. It returns an error if Self has no name or no incarnation, or if neither a shared
// key nor mutual TLS authenticates the peers.
func NewHub(cfg HubConfig, handler Handler) (*Hub, error) {
	if cfg.Self.Name == "" {
		return nil, errors.New("peer hub: self.name is empty")
	}
	if cfg.Self.Incarnation == 0 {
		return nil, errors.New("peer hub: self.incarnation is 0; it has to be random for each start")
	}
	if len(cfg.SharedKey) == 0 && !cfg.MutualTLS {
		return nil, errors.New("peer hub: sharedKey is empty and mutual TLS is off; one is needed")
	}
	cfg.QueueMessages = cmp.Or(cfg.QueueMessages, DefaultQueueMessages)
	cfg.MaxAccepted = cmp.Or(cfg.MaxAccepted, DefaultMaxAccepted)
	cfg.PingInterval = cmp.Or(cfg.PingInterval, DefaultPingInterval)
	cfg.PingTimeout = cmp.Or(cfg.PingTimeout, DefaultPingTimeout)
	cfg.MinBackoff = cmp.Or(cfg.MinBackoff, DefaultMinBackoff)
	cfg.MaxBackoff = cmp.Or(cfg.MaxBackoff, DefaultMaxBackoff)
	ctx, cancel := context.WithCancel(context.Background())
	return &Hub{
		cfg: cfg, handler: handler, ctx: ctx, cancel: cancel,
		client:       &http.Client{Transport: &http.Transport{TLSClientConfig: cfg.DialTLS, DisableKeepAlives: true}},
		peers:        map[string]*peerState{},
		dialers:      map[Address]context.CancelFunc{},
		pendingCalls: map[uint64]pendingCall{},
	}, nil
}

// Serve accepts connections from peers until the Hub or the listener is closed. For
// TLS, pass a listener made by tls.NewListener.
func (h *Hub) Serve(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc(endpointPath, h.accept)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		_ = l.Close()
		return ErrClosed
	}
	h.servers = append(h.servers, server)
	h.mu.Unlock()
	err := server.Serve(netutil.LimitListener(l, h.cfg.MaxAccepted+maxUnauthenticated))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "peer listener")
}

// Close ends every connection and waits for all goroutines of the Hub.
func (h *Hub) Close() {
	h.mu.Lock()
	h.closed = true
	servers := h.servers
	h.mu.Unlock()
	h.cancel()
	for _, s := range servers {
		_ = s.Close()
	}
	h.goroutines.Wait()
	h.client.CloseIdleConnections()
}

// Connected returns the names of the connected peers, sorted.
func (h *Hub) Connected() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for name, s := range h.peers {
		if s.link != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Send queues a message for the named peer. It never blocks: it returns ErrQueueFull if the
// queue of the connection is full, and ErrNotConnected if the peer is not connected. A nil
// error does not mean that the message has arrived.
func (h *Hub) Send(name string, e Envelope) error {
	l, err := h.linkTo(name)
	if err != nil {
		return err
	}
	e.V = ProtocolVersion
	e.From = ""
	data, err := Encode(e)
	if err != nil {
		return err
	}
	return l.enqueue(data)
}

// linkTo returns the connection to the named peer, or ErrNotConnected.
func (h *Hub) linkTo(name string) (*link, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := h.peers[name]; ok && s.link != nil {
		return s.link, nil
	}
	return nil, errors.Wrap(ErrNotConnected, name)
}

// addRunning makes Close wait for the calling goroutine, until that calls
// h.goroutines.Done. It returns false if the Hub is closed.
func (h *Hub) addRunning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.goroutines.Add(1)
	return true
}

// accept handles the HTTP request of a peer that connects, and serves the connection until
// it ends.
func (h *Hub) accept(w http.ResponseWriter, r *http.Request) {
	if !h.addRunning() {
		http.Error(w, "closing", http.StatusServiceUnavailable)
		return
	}
	defer h.goroutines.Done()
	if !h.reserveConn() {
		http.Error(w, "too many peer connections", http.StatusServiceUnavailable)
		return
	}
	defer h.releaseConn()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return // Accept has sent the error response
	}
	if err := h.serveAccepted(conn); err != nil {
		logline.Info("peer_refused", "remote", r.RemoteAddr, "error", err)
	}
}

// serveAccepted runs the handshake on an incoming connection and serves the connection
// until it ends. It returns an error if the peer is refused.
func (h *Hub) serveAccepted(conn *websocket.Conn) error {
	conn.SetReadLimit(handshakeReadLimit)
	ctx, cancel := context.WithTimeout(h.ctx, handshakeTimeout)
	defer cancel()
	handshake := handshaker{self: h.cfg.Self, key: h.cfg.SharedKey}
	peer, err := handshake.listen(ctx, conn)
	if err != nil {
		_ = conn.Close(closeRefused, "refused")
		return err
	}
	l := newLink(h.ctx, conn, peer, peer.Name, h.cfg.QueueMessages, &h.counters)
	s, ok := h.register(l)
	if !ok {
		l.close(closeDuplicate, "duplicate")
		return nil
	}
	if err := handshake.accept(ctx, conn); err != nil {
		l.close(websocket.StatusNormalClosure, "")
	}
	h.serveLink(s, l)
	return nil
}

// reserveConn counts an incoming connection. It returns false, and does not count it, if
// MaxAccepted of them are open.
func (h *Hub) reserveConn() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.accepted >= h.cfg.MaxAccepted {
		return false
	}
	h.accepted++
	return true
}

// releaseConn takes an incoming connection that has ended from the count.
func (h *Hub) releaseConn() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accepted--
}
