package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Path is where an instance accepts tunnels.
const Path = "/tunnel"

// Query parameters of a request for a tunnel.
const (
	paramUpstream = "upstream" // fleet.Incarnation of the upstream
	paramAddress  = "address"  // host:port, for relays that have no list of upstreams
	paramCheck    = "check"    // "true" if the tunnel is only to check whether the upstream is reached
)

// Timeouts of connections to relays. Network delays are a few milliseconds.
const (
	relayDialTimeout = 250 * time.Millisecond
	relayUserTimeout = 1500 * time.Millisecond
	relayKeepAlive   = time.Second
	relayIdleTimeout = time.Second // of connections on which a relay refused a tunnel
)

// Errors of Dial.
var (
	// ErrRelay means that the relay can't be used: it isn't reached, refuses tunnels or can't reach the upstream
	// by its own fault. It says nothing about the upstream.
	ErrRelay = errors.New("no tunnel through this relay")
	// ErrUnreachable means that the relay doesn't reach the upstream, although its link to it is thought to work.
	ErrUnreachable = errors.New("the relay doesn't reach the upstream")
	// ErrStranger means that the relay doesn't know this instance. It matches ErrRelay, too.
	ErrStranger = errors.Wrap(ErrRelay, "the relay doesn't know this instance")
	// ErrUnknown means that the relay doesn't know the upstream as one to use. Other relays may.
	ErrUnknown = errors.New("the relay doesn't know the upstream as one to use")
)

// errBroken means that a tunnel ended without a message about the end of the upstream's connection.
var errBroken = errors.New("the tunnel broke")

// Target identifies the upstream of a tunnel.
type Target struct {
	Upstream string // incarnation
	Address  string // host:port
	Check    bool   // the tunnel is only to check whether the upstream is reached, so the relay draws no conclusions about its own link
}

// Client opens tunnels.
type Client struct{ http *http.Client }

// NewClient returns a client. Close closes its idle connections.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: upstream.NewTransport(upstream.HTTPOptions{
		DialTimeout: relayDialTimeout, UserTimeout: relayUserTimeout, KeepAlive: relayKeepAlive, IdleTimeout: relayIdleTimeout,
	})}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Dial opens a tunnel to an upstream through the instance at an address (host:port). ctx limits only the opening. An
// error matches ErrUnreachable, ErrUnknown or ErrRelay; no byte has reached the upstream then.
func (c *Client) Dial(ctx context.Context, relay string, t Target) (net.Conn, error) {
	query := url.Values{paramUpstream: {t.Upstream}, paramAddress: {t.Address}, paramCheck: {strconv.FormatBool(t.Check)}}
	address := url.URL{Scheme: "ws", Host: relay, Path: Path, RawQuery: query.Encode()}
	ws, resp, err := websocket.Dial(ctx, address.String(), &websocket.DialOptions{HTTPClient: c.http})
	switch {
	case err == nil:
		return newConn(ws), nil
	case resp != nil && resp.StatusCode == http.StatusBadGateway:
		return nil, errors.Wrap(ErrUnreachable, relay)
	case resp != nil && resp.StatusCode == http.StatusForbidden:
		return nil, errors.Wrap(ErrStranger, relay)
	case resp != nil && resp.StatusCode == http.StatusNotFound:
		return nil, errors.Wrap(ErrUnknown, relay)
	case resp != nil:
		return nil, errors.Wrapf(ErrRelay, "%s: status %d", relay, resp.StatusCode)
	}
	return nil, errors.Wrapf(ErrRelay, "%s: %s", relay, err)
}

// conn is the end of a tunnel at the instance that opened it.
type conn struct {
	net.Conn
	ws     *websocket.Conn
	cancel context.CancelFunc
}

func newConn(ws *websocket.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{Conn: websocket.NetConn(ctx, ws, websocket.MessageBinary), ws: ws, cancel: cancel}
}

// Read implements net.Conn. It returns io.EOF only if the upstream ended its connection in order.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && err != io.EOF {
		return n, errors.Wrap(errBroken, err.Error())
	}
	return n, err
}

// Close implements net.Conn. It doesn't wait for the relay.
func (c *conn) Close() error {
	c.cancel()
	return c.ws.CloseNow()
}
