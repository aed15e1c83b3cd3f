package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

const (
	// maxNameBytes limits the name of an upstream in a request for a tunnel.
	maxNameBytes = 256
	// bufferBytes is the buffer size for the bytes of one direction. A full buffer holds the sender back.
	bufferBytes = 16 << 10
)

// ParseTarget returns the upstream of a request for a tunnel. It returns an error if a parameter is missing or
// malformed.
func ParseTarget(r *http.Request) (Target, error) {
	query := r.URL.Query()
	t := Target{Upstream: query.Get(paramUpstream), Address: query.Get(paramAddress), Check: query.Get(paramCheck) == "true"}
	if t.Upstream == "" || len(t.Upstream) > maxNameBytes {
		return t, errors.Errorf("%s has %d bytes, want 1 to %d", paramUpstream, len(t.Upstream), maxNameBytes)
	}
	if a, err := netip.ParseAddrPort(t.Address); err != nil || a.Port() == 0 {
		return t, errors.Errorf("%s %.64q: want an IP address and a port", paramAddress, t.Address)
	}
	return t, nil
}

// Serve accepts a tunnel and forwards its bytes to and from an upstream's connection, until either side ends or ctx
// ends. It closes both.
func Serve(ctx context.Context, w http.ResponseWriter, r *http.Request, upstream net.Conn) error {
	defer upstream.Close()
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return errors.Wrap(err, "tunnel")
	}
	defer func() { _ = ws.CloseNow() }() // it may be closed already
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = upstream.Close() })
	defer stop()
	requester := websocket.NetConn(ctx, ws, websocket.MessageBinary)
	go func() {
		defer cancel() // nobody wants the answer any more
		_, _ = io.CopyBuffer(struct{ io.Writer }{upstream}, requester, make([]byte, bufferBytes))
	}()
	_, err = io.CopyBuffer(requester, struct{ io.Reader }{upstream}, make([]byte, bufferBytes))
	if err != nil {
		return errors.Wrap(err, "tunnel")
	}
	return errors.Wrap(ws.Close(websocket.StatusNormalClosure, ""), "tunnel")
}
