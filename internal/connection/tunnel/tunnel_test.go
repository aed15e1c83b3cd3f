package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// waitTime only ends a test that would hang.
const waitTime = 10 * time.Second

// relay is a relay that connects to the address in the request.
type relay struct {
	address string
	served  chan error // result of Serve

	mu    sync.Mutex
	conns []net.Conn // accepted connections
}

func startRelay(t *testing.T) *relay {
	t.Helper()
	r := &relay{served: make(chan error, 10)}
	server := httptest.NewUnstartedServer(http.HandlerFunc(r.serve))
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.conns = append(r.conns, c)
		return ctx
	}
	server.Start()
	t.Cleanup(server.Close)
	r.address = server.Listener.Addr().String()
	return r
}

func (r *relay) serve(w http.ResponseWriter, req *http.Request) {
	target, err := ParseTarget(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	conn, err := upstream.Connect(req.Context(), target.Address, upstream.HTTPOptions{})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	r.served <- Serve(context.Background(), w, req, conn)
}

// kill ends all connections of other instances, as the end of the relay's process does.
func (r *relay) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
}

// startUpstream starts a TCP server that handles each connection with f.
func startUpstream(t *testing.T, f func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// dial opens a tunnel to an address.
func dial(t *testing.T, r *relay, address string) net.Conn {
	t.Helper()
	client := NewClient()
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(t.Context(), waitTime)
	defer cancel()
	conn, err := client.Dial(ctx, r.address, Target{Upstream: "u", Address: address})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// forward sends a request over a tunnel.
func forward(t *testing.T, conn net.Conn, body string) upstream.ServiceResponse {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTime)
	t.Cleanup(cancel)
	resp, err := upstream.ForwardOver(ctx, conn, upstream.ServiceCall{
		Address: "http://upstream", Method: http.MethodPost, Path: "/x", Body: strings.NewReader(body), ContentLength: int64(len(body)),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// TestTunnelCarriesRequestAndResponse checks that a long body and a long response pass unchanged.
func TestTunnelCarriesRequestAndResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Seal", "s")
		_, _ = io.Copy(w, r.Body)
	}))
	defer server.Close()
	body := strings.Repeat("0123456789", 100_000)
	resp := forward(t, dial(t, startRelay(t), server.Listener.Addr().String()), body)
	got, err := io.ReadAll(resp.Body)
	if err != nil || string(got) != body || resp.Header.Get("Seal") != "s" {
		t.Errorf("%d bytes, seal %q, error %v", len(got), resp.Header.Get("Seal"), err)
	}
}

// unframed is the beginning of a response that ends with its connection.
const unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst half"

// TestEndOfResponseWithoutLength guards against a response that ends with its connection and looks complete although the
// upstream reset the connection or the relay's process ended.
func TestEndOfResponseWithoutLength(t *testing.T) {
	for name, test := range map[string]struct {
		end      func(r *relay, c *net.TCPConn)
		complete bool
	}{
		"in order":       {func(_ *relay, c *net.TCPConn) { c.Close() }, true},
		"upstream reset": {func(_ *relay, c *net.TCPConn) { _ = c.SetLinger(0); c.Close() }, false},
		"relay killed":   {func(r *relay, _ *net.TCPConn) { r.kill() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			r, end := startRelay(t), make(chan struct{})
			address := startUpstream(t, func(c *net.TCPConn) {
				// A connection that is closed with unread bytes is reset.
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
				}
				_, _ = io.WriteString(c, unframed)
				<-end
				test.end(r, c)
			})
			resp := forward(t, dial(t, r, address), "")
			head := make([]byte, len("first half"))
			if _, err := io.ReadFull(resp.Body, head); err != nil {
				t.Fatal(err)
			}
			close(end)
			_, err := io.ReadAll(resp.Body)
			if complete := err == nil; complete != test.complete {
				t.Errorf("the response looks complete: %v, error %v", complete, err)
			}
		})
	}
}

// TestCloseReachesUpstream checks that an upstream sees within half a second that the caller has left.
func TestCloseReachesUpstream(t *testing.T) {
	ended := make(chan time.Time, 1)
	address := startUpstream(t, func(c *net.TCPConn) {
		_, _ = io.Copy(io.Discard, c)
		ended <- time.Now()
	})
	conn := dial(t, startRelay(t), address)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	closedAt := time.Now()
	conn.Close()
	select {
	case at := <-ended:
		if d := at.Sub(closedAt); d > 500*time.Millisecond {
			t.Errorf("the upstream's connection ended %v after the close", d)
		}
	case <-time.After(waitTime):
		t.Fatal("the upstream's connection doesn't end")
	}
}

// TestSlowReaderHoldsUpstreamBack guards against a relay that reads a whole response for a caller that doesn't.
func TestSlowReaderHoldsUpstreamBack(t *testing.T) {
	const total, maxAhead = 256 << 20, 32 << 20
	written := make(chan int, 1)
	address := startUpstream(t, func(c *net.TCPConn) {
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		n, chunk := 0, make([]byte, 1<<20)
		for n < total {
			k, err := c.Write(chunk)
			n += k
			if err != nil {
				break
			}
		}
		written <- n
	})
	dial(t, startRelay(t), address)
	if n := <-written; n > maxAhead {
		t.Errorf("%d bytes were taken from the upstream while nobody read", n)
	}
}

// TestDialErrors checks that the errors tell an upstream that isn't reached from a relay that can't be used.
func TestDialErrors(t *testing.T) {
	closed := startUpstream(t, func(c *net.TCPConn) { c.Close() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close() // nothing listens there any more
	status := http.StatusServiceUnavailable
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer other.Close()
	r := startRelay(t)
	for name, test := range map[string]struct {
		relay, address string
		status         int
		want           error
	}{
		"upstream refuses":  {r.address, l.Addr().String(), 0, ErrUnreachable},
		"malformed address": {r.address, "nowhere", 0, ErrRelay},
		"relay refuses":     {other.Listener.Addr().String(), closed, http.StatusServiceUnavailable, ErrRelay},
		"unknown instance":  {other.Listener.Addr().String(), closed, http.StatusForbidden, ErrStranger},
		"unknown upstream":  {other.Listener.Addr().String(), closed, http.StatusNotFound, ErrUnknown},
		"no relay":          {l.Addr().String(), closed, 0, ErrRelay},
	} {
		status = test.status
		client := NewClient()
		_, err := client.Dial(t.Context(), test.relay, Target{Upstream: "u", Address: test.address})
		if !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", name, err, test.want)
		}
		client.Close()
	}
}

// TestResetDuringUploadIsNoOrderlyEnd guards against the part of a response that is taken for the whole: the upstream responds
// early, with a body that ends with its connection, and resets the connection while the relay still writes the request to it.
// If the relay's write got the reset, its read got an end of file, which the relay told the other instance as an orderly end.
func TestResetDuringUploadIsNoOrderlyEnd(t *testing.T) {
	const (
		tries    = 60
		partWait = 20 * time.Millisecond // until the part of the response has been read
	)
	var uploads []string // some that the tunnel's buffers hold and the upstream's don't, and some that neither hold
	for mib := 1; mib <= 12; mib++ {
		uploads = append(uploads, strings.Repeat("u", mib<<20))
	}
	address := startUpstream(t, func(c *net.TCPConn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		time.Sleep(partWait)
		_ = c.SetLinger(0)
	})
	r, whole := startRelay(t), 0
	r.served = make(chan error, tries)
	for i := range tries {
		resp := forward(t, dial(t, r, address), uploads[i%len(uploads)])
		if got, err := io.ReadAll(resp.Body); err == nil {
			whole++
		} else if string(got) != "part" {
			t.Errorf("body %q, error %v", got, err)
		}
		resp.Body.Close()
	}
	orderly := 0
	for range tries {
		if <-r.served == nil {
			orderly++
		}
	}
	if whole+orderly > 0 {
		t.Errorf("%d of %d responses that were reset seemed whole, %d tunnels ended in order", whole, tries, orderly)
	}
}
