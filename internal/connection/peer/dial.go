package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// yieldBackoffs is the time, as a multiple of MinBackoff, that the side with the larger
// name waits before its first dial. It waits because a connection that the side with the
// smaller name dials at the same time would replace its own.
const yieldBackoffs = 4

// SetLinks sets the addresses of the peers that this daemon keeps connections to. It closes
// connections that this daemon dialed to other addresses. Connections that peers dialed
// stay open.
func (h *Hub) SetLinks(addresses []Address) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	wanted := make(map[Address]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
		if _, running := h.dialers[a]; !running {
			h.startDialer(a)
		}
	}
	for a, stop := range h.dialers {
		if !wanted[a] {
			stop()
			delete(h.dialers, a)
		}
	}
}

// startDialer starts a goroutine that keeps a connection to the address. The caller
// holds h.mu.
func (h *Hub) startDialer(a Address) {
	ctx, cancel := context.WithCancel(h.ctx)
	h.dialers[a] = cancel
	h.goroutines.Go(func() { h.keepDialing(ctx, a) })
}

// keepDialing keeps a connection to the address until ctx ends. When the connection ends or
// cannot be made, it dials again after a backoff with jitter. It does not dial while another
// connection to the same peer exists.
func (h *Hub) keepDialing(ctx context.Context, a Address) {
	backoff := h.cfg.MinBackoff
	if a.Name != "" && h.cfg.Self.Name > a.Name {
		sleep(ctx, yieldBackoffs*h.cfg.MinBackoff)
	}
	for ctx.Err() == nil {
		if a.Name != "" && h.isConnected(a.Name) {
			sleep(ctx, h.cfg.MinBackoff)
			continue
		}
		began := time.Now()
		name, err := h.dialOnce(ctx, a)
		if a.Name == "" {
			a.Name = name // from the handshake; isConnected needs it to find a connection that the peer dialed
		}
		if err != nil && ctx.Err() == nil {
			logline.Debug("peer_dial_failed", "peer", a.Name, "address", a.HostPort, "error", err)
		}
		if err == nil && time.Since(began) > h.cfg.MaxBackoff {
			backoff = h.cfg.MinBackoff
		}
		sleep(ctx, backoff/2+rand.N(backoff/2+1))
		backoff = min(backoff*2, h.cfg.MaxBackoff)
	}
}

// isConnected reports whether a connection to the named peer exists, whoever dialed it.
func (h *Hub) isConnected(name string) bool {
	_, err := h.linkTo(name)
	return err == nil
}

// dialOnce opens a connection and serves it until it ends. It returns the name that the
// peer gave in the handshake, which is empty if the peer sent none. The error is nil if the
// handshake succeeded.
func (h *Hub) dialOnce(ctx context.Context, a Address) (string, error) {
	conn, peer, err := h.connect(ctx, a)
	if err != nil {
		return peer.Name, err
	}
	l := newLink(ctx, conn, peer, h.cfg.Self.Name, h.cfg.QueueMessages, &h.counters)
	s, ok := h.register(l)
	if !ok {
		l.close(closeDuplicate, "duplicate")
		return peer.Name, nil
	}
	h.serveLink(s, l)
	return peer.Name, nil
}

// connect dials the address, runs the handshake and returns the connection with the peer's
// Hello. It returns ErrAuthentication if the peer has another name than a.Name.
func (h *Hub) connect(ctx context.Context, a Address) (*websocket.Conn, Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	scheme := "ws://"
	if h.cfg.DialTLS != nil {
		scheme = "wss://"
	}
	conn, answer, err := websocket.Dial(ctx, scheme+a.HostPort+endpointPath, &websocket.DialOptions{HTTPClient: h.client})
	if answer != nil && answer.Body != nil {
		_ = answer.Body.Close()
	}
	if err != nil {
		return nil, Hello{}, errors.Wrap(err, "dial peer")
	}
	conn.SetReadLimit(handshakeReadLimit)
	peer, err := handshaker{self: h.cfg.Self, key: h.cfg.SharedKey}.dial(ctx, conn)
	if err == nil && a.Name != "" && peer.Name != a.Name {
		err = errors.Wrapf(ErrAuthentication, "%s is named %q, expected %q", a.HostPort, peer.Name, a.Name)
	}
	if err != nil {
		_ = conn.CloseNow()
		return nil, peer, err
	}
	return conn, peer, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
