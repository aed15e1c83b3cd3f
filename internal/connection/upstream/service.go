package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/defaults"
)

// ServiceCall is one call of a plain service. The caller decides which headers to
// forward; hop-by-hop headers are dropped here.
type ServiceCall struct {
	Address       string // base URL of the upstream
	Method        string
	Path          string // escaped, with a leading slash
	RawQuery      string
	Host          string // Host header; empty: the host of Address
	Header        http.Header
	Body          io.Reader // nil: none; read at most once
	ContentLength int64     // of Body; -1, or 0 with a Body: unknown
	OwnConnection bool      // the connection is opened for this call, and carries no other one
}

// Framing says how the end of a response body is marked.
type Framing string

// The framings. Only a body with a length or in chunks shows by itself whether it is complete.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection" // the body ends with its connection
)

// ServiceResponse is the response of a service, with any status. Body must be closed;
// a read error other than io.EOF matches ErrBroken.
type ServiceResponse struct {
	Status  int
	Header  http.Header
	Length  int64 // of Body; -1: unknown
	Framing Framing
	Reused  bool // the response came on a connection that carried earlier calls
	Body    io.ReadCloser

	conn net.Conn
}

// CloseConnection closes the connection of the response, so that no later call meets what the upstream still sends on it.
// Nothing more can be read from Body.
func (r *ServiceResponse) CloseConnection() {
	if r.conn != nil {
		_ = r.conn.Close() // the transport may have closed it
	}
}

// Services calls plain services over one connection pool, or over a connection of the call's own.
type Services struct {
	transport *http.Transport
	unpooled  *http.Transport // opens a connection for each call
}

// DefaultServiceUserTimeout is the default of HTTPOptions.UserTimeout for plain services.
// It is longer than DefaultUserTimeout, because while a service reads a large body
// slowly, the kernel cannot send more and counts the waiting bytes as unacknowledged.
const DefaultServiceUserTimeout = time.Minute

// NewServices returns a client for plain services. It uses only the options for
// connections; the timeouts and size limits of calls and streams do not apply. A call
// ends only with its context.
func NewServices(opts HTTPOptions) *Services {
	defaults.Set(&opts.UserTimeout, DefaultServiceUserTimeout)
	opts = opts.withDefaults()
	unpooled := NewTransport(opts)
	unpooled.DisableKeepAlives = true
	return &Services{transport: NewTransport(opts), unpooled: unpooled}
}

// Close closes idle connections.
func (s *Services) Close() error {
	s.transport.CloseIdleConnections()
	return nil
}

// Forward sends one call and returns its response while the body is still streaming.
// The call is sent at most once, whatever its method and headers. An error matches
// ErrNotRun if no byte of the call was sent, and ErrBroken otherwise.
func (s *Services) Forward(ctx context.Context, call ServiceCall) (ServiceResponse, error) {
	if call.OwnConnection {
		return forward(ctx, s.unpooled, call)
	}
	return forward(ctx, s.transport, call)
}

// ForwardOver is Forward over a connection to the upstream that is open already. It closes
// the connection at the end of the response, or with the error that it returns.
func ForwardOver(ctx context.Context, conn net.Conn, call ServiceCall) (ServiceResponse, error) {
	transport := NewTransport(HTTPOptions{})
	transport.DisableKeepAlives = true
	transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		return &sealConn{Conn: conn}, nil // called once, as the call is sent at most once
	}
	resp, err := forward(ctx, transport, call)
	if err != nil {
		_ = conn.Close() // the transport may have closed it
	}
	return resp, err
}

// forward sends one call through a transport.
func forward(ctx context.Context, transport http.RoundTripper, call ServiceCall) (ServiceResponse, error) {
	const op = "forward"
	req, err := serviceRequest(ctx, call)
	if err != nil {
		return ServiceResponse{}, notRunError(op, call.Address, err)
	}
	var tracker sendTracker
	resp, err := exchange(transport, req, &tracker, op, call.Address)
	if err != nil {
		return ServiceResponse{}, err
	}
	conn, reused := tracker.connection()
	dropHopByHop(resp.Header)
	body := &serviceBody{ReadCloser: resp.Body, ctx: ctx, address: call.Address}
	return ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: framingOf(resp), Reused: reused, Body: body, conn: conn}, nil
}

// framingOf returns the framing of a response's body. A response without a body counts as one of length 0.
func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramedByLength
	}
	return FramedByConnection
}

// serviceRequest returns the HTTP request for a call. It returns an error if the call is
// malformed.
func serviceRequest(ctx context.Context, call ServiceCall) (*http.Request, error) {
	base, err := parseBase(call.Address)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Errorf("path %q does not begin with a slash", call.Path)
	}
	target, err := url.Parse(base.String() + call.Path)
	if err != nil {
		return nil, errors.Wrapf(err, "path %q", call.Path)
	}
	target.RawQuery = call.RawQuery
	body, length := call.Body, call.ContentLength
	if body == nil || body == http.NoBody {
		body, length = strings.NewReader(""), 0
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target.String(), nonReplayableBody{body})
	if err != nil {
		return nil, err
	}
	req.ContentLength = max(length, 0)
	req.Host = call.Host
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	dropHopByHop(req.Header)
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return req, nil
}

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// dropHopByHop removes the hop-by-hop headers, and the headers that the Connection header
// names.
func dropHopByHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// serviceBody is a response body whose read errors match ErrBroken.
type serviceBody struct {
	io.ReadCloser
	ctx     context.Context
	address string
}

// Read implements io.Reader.
func (b *serviceBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	if cause := context.Cause(b.ctx); cause != nil {
		err = cause
	}
	return n, brokenError("answer", b.address, err)
}
