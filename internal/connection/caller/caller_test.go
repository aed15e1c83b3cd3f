package caller

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// TestMain runs the tests and fails if any goroutine is left after them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout limits each wait of a test.
const testTimeout = 20 * time.Second

// gate holds up the reads of a server's connections while it is closed, as if the process didn't run.
type gate struct {
	mu     sync.Mutex
	opened *sync.Cond
	closed bool
}

func newGate() *gate {
	g := &gate{}
	g.opened = sync.NewCond(&g.mu)
	return g
}

func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	g.opened.Broadcast()
}

func (g *gate) wait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.closed {
		g.opened.Wait()
	}
}

// gatedListener accepts connections whose reads wait for a gate.
type gatedListener struct {
	*net.TCPListener
	gate *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return gatedConn{c, l.gate}, nil
}

type gatedConn struct {
	*net.TCPConn
	gate *gate
}

// Read reads once there is something to read or the deadline has passed, and the gate is open.
func (c gatedConn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	_ = raw.Read(func(uintptr) bool { return hasReceived(c.TCPConn) }) // an error is the passed deadline
	c.gate.wait()
	return c.TCPConn.Read(p)
}

func hasReceived(c *net.TCPConn) bool {
	_, err := receive(c, make([]byte, 1), peek)
	return err != errNothingReceived
}

// testServer is a running server.
type testServer struct {
	*Server
	t      *testing.T
	gate   *gate
	l      *Listener
	served chan error
}

// newTestServer returns a server on a port of its own that doesn't serve yet.
func newTestServer(t *testing.T, settings *http.Server) *testServer {
	t.Helper()
	return newGuardedServer(t, settings, nil)
}

// newGuardedServer does the same with a guard.
func newGuardedServer(t *testing.T, settings *http.Server, guard *Guard) *testServer {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := newGate()
	s := &testServer{
		Server: NewServer(settings, guard), t: t, gate: g, served: make(chan error, 1),
		l: &Listener{tcpListener: gatedListener{tcp.(*net.TCPListener), g}, tracker: newTracker()},
	}
	return s
}

// start serves until the end of the test.
func (s *testServer) start(config *tls.Config) {
	go func() { s.served <- s.Serve(s.l, config) }()
	s.t.Cleanup(func() {
		s.gate.set(false)
		s.Close()
		<-s.served
	})
}

// shutdown shuts the server down in the background and returns a channel for the error.
func (s *testServer) shutdown(timeout time.Duration) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		ended <- s.Shutdown(ctx)
	}()
	return ended
}

// eventually waits until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out: %s", what)
}

// testCaller is a caller that writes bytes when a test wants it to.
type testCaller struct {
	t *testing.T
	net.Conn
	answers *bufio.Reader
}

func (s *testServer) dial() *testCaller {
	s.t.Helper()
	c, err := net.Dial("tcp", s.l.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	return newTestCaller(s.t, c)
}

func newTestCaller(t *testing.T, c net.Conn) *testCaller {
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &testCaller{t: t, Conn: c, answers: bufio.NewReader(c)}
}

func (c *testCaller) send(part string) {
	c.t.Helper()
	if _, err := io.WriteString(c, part); err != nil {
		c.t.Fatalf("sending: %v", err)
	}
}

// wantAnswer reads an answer to its end and checks its status.
func (c *testCaller) wantAnswer(status int) *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		c.t.Fatalf("the answer is incomplete: %v", err)
	}
	if resp.StatusCode != status {
		c.t.Errorf("status %d, want %d", resp.StatusCode, status)
	}
	return resp
}

// wantEnd checks that the server closes the connection without a reset.
func (c *testCaller) wantEnd() {
	c.t.Helper()
	if n, err := c.answers.Read(make([]byte, 1)); err != io.EOF {
		c.t.Errorf("read %d bytes, %v; want the end of the connection", n, err)
	}
}

const getRequest = "GET / HTTP/1.1\r\nHost: example.com\r\n\r\n"

// answering answers every request at once, without reading its body.
var answering = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) })

// TestAnswerReachesCallerThatStillSends guards against the reset of a connection whose caller still sends a
// request that is already answered. The reset makes the caller's writes fail, and the caller's kernel may
// drop the answer.
func TestAnswerReachesCallerThatStillSends(t *testing.T) {
	const parts, partBytes = 32, 32 << 10
	request := func(header string) string { return "POST / HTTP/1.1\r\nHost: example.com\r\n" + header + "\r\n" }
	length := fmt.Sprintf("Content-Length: %d\r\n", parts*partBytes)
	tests := map[string]struct {
		head   string
		status int
	}{
		"caller closes":     {request("Connection: close\r\n" + length), http.StatusTooManyRequests},
		"caller keeps open": {request(length), http.StatusTooManyRequests},
		"chunked":           {request("Transfer-Encoding: chunked\r\n") + "1000000\r\n", http.StatusTooManyRequests},
		"chunked, closes":   {request("Connection: close\r\nTransfer-Encoding: chunked\r\n") + "1000000\r\n", http.StatusTooManyRequests},
		"bad header":        {request("Content-Length: many\r\n"), http.StatusBadRequest},
		"long header":       {"POST / HTTP/1.1\r\nHost: example.com\r\nX: ", http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(t, &http.Server{Handler: answering, MaxHeaderBytes: 16 << 10})
			s.start(nil)
			c := s.dial()
			c.send(test.head)
			for range parts {
				c.send(strings.Repeat("x", partBytes))
				time.Sleep(30 * time.Millisecond)
			}
			c.wantAnswer(test.status)
			c.wantEnd()
		})
	}
}

// TestLingeringEnds guards against connections that stay half-closed for as long as their callers want, and
// against a Close of the server that waits for them.
func TestLingeringEnds(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: example.com\r\nConnection: close\r\nContent-Length: 1000000000\r\n\r\n"
	t.Run("after some time", func(t *testing.T) {
		t.Parallel()
		s := newTestServer(t, &http.Server{Handler: answering})
		s.start(nil)
		c := s.dial()
		c.send(head)
		c.wantAnswer(http.StatusTooManyRequests)
		eventually(t, "the connection is closed", func() bool { return s.tracker.count() == 0 })
	})
	t.Run("after some bytes", func(t *testing.T) {
		t.Parallel()
		s := newTestServer(t, &http.Server{Handler: answering})
		s.start(nil)
		c := s.dial()
		c.send(head)
		sent := 0
		for part := []byte(strings.Repeat("x", 1<<20)); sent < 1000; sent++ {
			if _, err := c.Write(part); err != nil {
				break
			}
		}
		if sent < lingerBytes>>20 || sent == 1000 {
			t.Errorf("%d MB could be sent, limit %d bytes", sent, lingerBytes)
		}
	})
	t.Run("by Close", func(t *testing.T) {
		t.Parallel()
		s := newTestServer(t, &http.Server{Handler: answering})
		s.start(nil)
		c := s.dial()
		c.send(head)
		c.wantAnswer(http.StatusTooManyRequests)
		c.wantEnd()
		s.Close()
		if n := s.tracker.count(); n != 0 {
			t.Errorf("%d connections after Close", n)
		}
	})
}

// TestKeptConnectionIsNotLingeredFor guards against a shutdown that waits for a caller whose request was read
// to its end by net/http only, and which doesn't close its idle connection.
func TestKeptConnectionIsNotLingeredFor(t *testing.T) {
	s := newTestServer(t, &http.Server{Handler: answering})
	s.start(nil)
	c := s.dial()
	c.send("POST / HTTP/1.1\r\nHost: example.com\r\nContent-Length: 4\r\n\r\nbody")
	c.wantAnswer(http.StatusTooManyRequests)
	began := time.Now()
	if err := <-s.shutdown(testTimeout); err != nil {
		t.Errorf("Shutdown: %v", err)
	}
	if took := time.Since(began); took >= lingerTimeout {
		t.Errorf("Shutdown took %v", took)
	}
}

// TestAbortedAnswerIsNotLingeredFor guards against an answer that broke off whose connection stays open.
func TestAbortedAnswerIsNotLingeredFor(t *testing.T) {
	s := newTestServer(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.WriteString(w, "a part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})})
	s.start(nil)
	c := s.dial()
	c.send("POST / HTTP/1.1\r\nHost: example.com\r\nContent-Length: 1000000\r\n\r\nx")
	began := time.Now()
	resp, err := http.ReadResponse(c.answers, nil)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
	}
	if err == nil {
		t.Error("the answer looks complete")
	}
	eventually(t, "the connection is closed", func() bool { return s.tracker.count() == 0 })
	if took := time.Since(began); took >= lingerTimeout {
		t.Errorf("closed after %v", took)
	}
}

// TestAbortedAnswerWithoutFramingIsReset guards against an answer that looks complete although it isn't: to an HTTP/1.0
// caller, an orderly end of the connection is the end of the answer.
func TestAbortedAnswerWithoutFramingIsReset(t *testing.T) {
	const part = "a part"
	for how, end := range map[string]func(s *testServer){
		"handler returns": func(*testServer) {},
		"handler aborts":  func(*testServer) { panic(http.ErrAbortHandler) },
		"server closes":   func(s *testServer) { s.Close() },
	} {
		t.Run(how, func(t *testing.T) {
			var s *testServer
			read := make(chan struct{})
			s = newTestServer(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, part)
				_ = http.NewResponseController(w).Flush()
				<-read // a reset may discard what the caller hasn't read
				end(s)
			})})
			s.start(nil)
			c := s.dial()
			c.send("GET / HTTP/1.0\r\n\r\n")
			resp, err := http.ReadResponse(c.answers, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if _, err := io.ReadFull(resp.Body, make([]byte, len(part))); err != nil {
				t.Fatal(err)
			}
			close(read)
			_, err = io.ReadAll(resp.Body)
			if whole := err == nil; whole != (how == "handler returns") {
				t.Errorf("looks complete: %t, %v", whole, err)
			}
		})
	}
}

// TestUnmarkedAnswerWhoseTailWasNotWrittenIsReset guards against an answer that looks complete although its last bytes are
// missing: they were still buffered when the handler of an HTTP/1.0 caller's request returned, and couldn't be written.
func TestUnmarkedAnswerWhoseTailWasNotWrittenIsReset(t *testing.T) {
	const part, tail = "a part", " and the tail"
	read := make(chan struct{})
	s := newTestServer(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		control := http.NewResponseController(w)
		_, _ = io.WriteString(w, part)
		_ = control.Flush()
		<-read
		_, _ = io.WriteString(w, tail)
		_ = control.SetWriteDeadline(time.Now().Add(-time.Second)) // as one that passed since the last write
	})})
	s.start(nil)
	c := s.dial()
	c.send("GET / HTTP/1.0\r\n\r\n")
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, len(part))); err != nil {
		t.Fatal(err)
	}
	close(read)
	if rest, err := io.ReadAll(resp.Body); err == nil && string(rest) != tail {
		t.Errorf("looks complete after %q and %q", part, rest)
	}
}

// TestReadAfterDeadline guards against a timeout for bytes that arrived before the deadline and weren't read
// in time, because the process didn't run. A deadline that aborts a read, and one before which nothing
// arrived, has to be a timeout.
func TestReadAfterDeadline(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	c := accepted.(*conn)
	buffer := make([]byte, 4)
	read := func() (string, error) {
		n, err := c.Read(buffer)
		return string(buffer[:n]), err
	}
	pastDeadline := func() {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		time.Sleep(5 * time.Millisecond)
	}
	pastDeadline()
	if got, err := read(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("nothing arrived: %q, %v", got, err)
	}
	if _, err := io.WriteString(peer, "abcdef"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the bytes arrive", func() bool { return hasReceived(c.tcpConn.(*net.TCPConn)) })
	pastDeadline()
	if got, err := read(); got != "abcd" || err != nil {
		t.Errorf("%q, %v; want the first bytes", got, err)
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	if got, err := read(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read aborted: %q, %v", got, err)
	}
	pastDeadline()
	if got, err := read(); got != "ef" || err != nil {
		t.Errorf("%q, %v; want the last bytes", got, err)
	}
	peer.Close()
	eventually(t, "the end arrives", func() bool { return hasReceived(c.tcpConn.(*net.TCPConn)) })
	pastDeadline()
	if got, err := read(); err != io.EOF {
		t.Errorf("%q, %v; want the end", got, err)
	}
}

// TestRequestThatArrivedInTimeIsAnswered guards against timeouts of the server that count time in which the
// process didn't run: a request that lies in the receive buffer would be dropped, and its connection reset.
func TestRequestThatArrivedInTimeIsAnswered(t *testing.T) {
	const timeout = 50 * time.Millisecond
	settings := func() *http.Server {
		return &http.Server{Handler: answering, ReadHeaderTimeout: timeout, IdleTimeout: timeout}
	}
	t.Run("on a new connection", func(t *testing.T) {
		s := newTestServer(t, settings())
		s.start(nil)
		s.gate.set(true)
		c := s.dial()
		c.send(getRequest)
		time.Sleep(2 * timeout)
		s.gate.set(false)
		c.wantAnswer(http.StatusTooManyRequests)
	})
	t.Run("on a kept connection", func(t *testing.T) {
		s := newTestServer(t, settings())
		s.start(nil)
		c := s.dial()
		c.send(getRequest)
		c.wantAnswer(http.StatusTooManyRequests)
		s.gate.set(true)
		c.send(getRequest)
		time.Sleep(2 * timeout)
		s.gate.set(false)
		c.wantAnswer(http.StatusTooManyRequests)
	})
}

// TestConnectionsThatWaitAreServed guards against a graceful shutdown that closes a port while connections wait
// to be accepted: the kernel resets these, with the requests that callers have already sent on them.
func TestConnectionsThatWaitAreServed(t *testing.T) {
	s := newTestServer(t, &http.Server{Handler: answering})
	var callers []*testCaller
	for range 10 {
		c := s.dial()
		c.send(getRequest)
		callers = append(callers, c)
	}
	s.l.Stop()
	s.start(nil)
	for _, c := range callers {
		c.wantAnswer(http.StatusTooManyRequests)
	}
	if err := <-s.served; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve returned %v", err)
	}
	s.served <- nil
	if c, err := net.Dial("tcp", s.l.Addr().String()); err == nil {
		c.Close()
		t.Error("the port is still open")
	}
}

// TestRequestThatCrossesShutdownIsAnswered guards against a request that is cut because it reaches an idle
// connection when the server shuts down, even if the process doesn't run in the time that it has for that.
func TestRequestThatCrossesShutdownIsAnswered(t *testing.T) {
	s := newTestServer(t, &http.Server{Handler: answering})
	s.start(nil)
	kept, fresh := s.dial(), s.dial()
	kept.send(getRequest)
	kept.wantAnswer(http.StatusTooManyRequests)
	eventually(t, "both connections are accepted", func() bool { return s.tracker.count() == 2 })
	s.gate.set(true)
	kept.send(getRequest)
	fresh.send(getRequest)
	ended := s.shutdown(testTimeout)
	time.Sleep(firstRequestTimeout + nextRequestTimeout)
	s.gate.set(false)
	for _, c := range []*testCaller{kept, fresh} {
		if resp := c.wantAnswer(http.StatusTooManyRequests); !resp.Close {
			t.Error("the caller isn't asked to close its connection")
		}
		c.wantEnd()
	}
	if err := <-ended; err != nil {
		t.Errorf("Shutdown: %v", err)
	}
}

// TestShutdownClosesIdleConnections guards against a shutdown that waits for callers which keep connections
// open without using them, with and without TLS, and against one that closes a connection in use.
func TestShutdownClosesIdleConnections(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	config := &tls.Config{Certificates: certified.TLS.Certificates}
	certified.Close()
	for name, config := range map[string]*tls.Config{"plain": nil, "TLS": config} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			s := newTestServer(t, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					<-release
				}
				w.WriteHeader(http.StatusTooManyRequests)
			})})
			s.start(config)
			dial := func() *testCaller {
				c := s.dial()
				if config == nil {
					return c
				}
				over := tls.Client(c.Conn, &tls.Config{InsecureSkipVerify: true})
				if err := over.Handshake(); err != nil {
					t.Fatal(err)
				}
				return newTestCaller(t, over)
			}
			unused, kept, used := dial(), dial(), dial()
			kept.send(getRequest)
			kept.wantAnswer(http.StatusTooManyRequests)
			used.send("POST / HTTP/1.1\r\nHost: example.com\r\nContent-Length: 1\r\n\r\nx")
			eventually(t, "the connections are accepted", func() bool { return s.tracker.count() == 3 })
			time.Sleep(50 * time.Millisecond) // the request reaches the handler
			ended := s.shutdown(testTimeout)
			unused.wantEnd()
			kept.wantEnd()
			select {
			case err := <-ended:
				t.Errorf("Shutdown returned %v while a request runs", err)
			default:
			}
			close(release)
			used.wantAnswer(http.StatusTooManyRequests)
			if err := <-ended; err != nil {
				t.Errorf("Shutdown: %v", err)
			}
		})
	}
}
