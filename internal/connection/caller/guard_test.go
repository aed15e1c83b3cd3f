package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/budget"
)

// testLimits are the limits on a single caller of these tests.
func testLimits() budget.CallerLimits {
	return budget.CallerLimits{HeadBytes: 8 << 10, HeadTimeout: time.Minute, IdleTimeout: time.Minute}
}

// newGuard returns a guard that allows 1 MiB and 20 connections.
func newGuard() *Guard {
	return NewGuard(budget.Limits{Bytes: 1 << 20, Connections: 20}, testLimits, nil)
}

// guardedHandler books the bodies that it reads. It counts the requests that it runs.
type guardedHandler struct {
	mu   sync.Mutex
	runs []string // paths
}

func (h *guardedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	held := RequestOf(r.Context())
	held.BeginBody("account")
	booked := held.Book(budget.Bodies, max(0, r.ContentLength))
	_, err := io.Copy(io.Discard, r.Body)
	if !held.EndBody() || !booked || errors.Is(err, ErrClosing) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		return
	}
	h.mu.Lock()
	h.runs = append(h.runs, r.URL.Path)
	h.mu.Unlock()
	switch r.URL.Path {
	case "/aborts":
		panic(http.ErrAbortHandler)
	case "/waits":
		<-r.Context().Done()
	case "/hijacks":
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			c.Close()
		}
	case "/answers":
		held.Book(budget.Responses, 1000)
	}
}

// paths returns the paths of the requests that ran.
func (h *guardedHandler) paths() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Join(h.runs, " ")
}

func post(path string, length int, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: example.com\r\nContent-Length: %d\r\n\r\n%s", path, length, body)
}

// wantNothingHeld waits until nothing is held for any connection.
func wantNothingHeld(t *testing.T, g *Guard) {
	t.Helper()
	eventually(t, "nothing is held", func() bool { return g.Usage() == budget.Usage{} })
}

// TestNothingIsHeldAfterTheEnd checks that whatever ends a request, what was booked for it is returned.
func TestNothingIsHeldAfterTheEnd(t *testing.T) {
	body := strings.Repeat("b", 1000)
	for _, play := range []struct {
		name string
		send string
		read bool // to the end of the connection, before the caller leaves
	}{
		{"answered", strings.Replace(post("/answers", 1000, body), "Host", "Connection: close\r\nHost", 1), true},
		{"answered and kept", post("/answers", 1000, body), false},
		{"aborted", post("/aborts", 1000, body), true},
		{"hijacked", post("/hijacks", 1000, body), true},
		{"left while it runs", post("/waits", 1000, body), false},
		{"left in its body", post("/answers", 1000, "b"), false},
		{"left in its head", "POST /answers HTTP/1.1\r\n" + strings.Repeat("x: y\r\n", 500), false},
		{"left before its head", "", false},
		{"head over the limit", "POST /answers HTTP/1.1\r\nx: " + strings.Repeat("y", 20<<10), true},
		{"no request", "\r\n\r\n\r\nwhat\r\n\r\n", true},
		{"body over the budget", post("/answers", 2<<20, ""), false},
	} {
		t.Run(play.name, func(t *testing.T) {
			g, h := newGuard(), &guardedHandler{}
			s := newGuardedServer(t, &http.Server{Handler: h}, g)
			s.start(nil)
			c := s.dial()
			c.send(play.send)
			eventually(t, "the connection is known", func() bool { return play.read || g.Usage().Bytes > 0 })
			if play.read {
				_, _ = io.Copy(io.Discard, c.answers) // however the connection ends
			}
			c.Close()
			wantNothingHeld(t, g)
		})
	}
}

// TestHeadOverLimitIsRefused checks that a head that is too large is answered, and that what follows in it is not read
// as a request.
func TestHeadOverLimitIsRefused(t *testing.T) {
	h := &guardedHandler{}
	s := newGuardedServer(t, &http.Server{Handler: h}, newGuard())
	s.start(nil)
	c := s.dial()
	c.send("POST /large HTTP/1.1\r\nHost: example.com\r\nx: " + strings.Repeat("y", 20<<10) + "\r\n\r\n" + post("/hidden", 0, ""))
	c.wantAnswer(http.StatusRequestHeaderFieldsTooLarge)
	c.wantEnd()
	if got := h.paths(); got != "" {
		t.Errorf("ran: %s", got)
	}
}

// TestStalledBodyIsRefused checks that a body that makes no progress is refused when another request needs its bytes,
// and that its request doesn't run.
func TestStalledBodyIsRefused(t *testing.T) {
	g, h := newGuard(), &guardedHandler{}
	s := newGuardedServer(t, &http.Server{Handler: h}, g)
	s.start(nil)
	stalled := s.dial()
	stalled.send(post("/stalled", 600<<10, "b"))
	eventually(t, "its body is booked", func() bool { return g.Usage().ByPurpose[budget.Bodies] == 600<<10 })
	time.Sleep(time.Second) // it makes no progress
	other := s.dial()
	other.send(post("/other", 600<<10, strings.Repeat("b", 600<<10)))
	other.wantAnswer(http.StatusOK)
	stalled.wantAnswer(http.StatusServiceUnavailable)
	stalled.wantEnd()
	if got := h.paths(); got != "/other" {
		t.Errorf("ran: %s", got)
	}
}

// TestConnectionOverLimit checks that an unused connection is closed for a new one, whose request is answered.
func TestConnectionOverLimit(t *testing.T) {
	g, h := newGuard(), &guardedHandler{}
	s := newGuardedServer(t, &http.Server{Handler: h}, g)
	s.start(nil)
	first := s.dial()
	eventually(t, "the first connection is known", func() bool { return g.Usage().Connections[budget.Unused] == 1 })
	for range 19 {
		s.dial()
	}
	eventually(t, "all connections are known", func() bool { return g.Usage().Connections[budget.Unused] == 20 })
	time.Sleep(time.Second) // they make no progress
	c := s.dial()
	c.send(post("/new", 0, ""))
	c.wantAnswer(http.StatusOK)
	first.wantEnd()
}

// TestSweepKeepsToTimeLimits checks that connections over a limit on time are closed, and that one whose bytes wait to
// be read isn't.
func TestSweepKeepsToTimeLimits(t *testing.T) {
	g, h := newGuard(), &guardedHandler{}
	s := newGuardedServer(t, &http.Server{Handler: h}, g)
	s.start(nil)
	unused, head, idle, waiting := s.dial(), s.dial(), s.dial(), s.dial()
	head.send("POST /head HTTP/1.1\r\n")
	for _, c := range []*testCaller{idle, waiting} {
		c.send(post("/first", 0, ""))
		c.wantAnswer(http.StatusOK)
	}
	eventually(t, "the connections are in their phases", func() bool {
		u := g.Usage()
		return u.Connections[budget.Unused] == 1 && u.Connections[budget.Head] == 1 && u.Connections[budget.Idle] == 2
	})
	s.gate.set(true) // the process doesn't run
	waiting.send(post("/second", 0, ""))
	time.Sleep(100 * time.Millisecond) // until the bytes are in the receive buffer
	g.Sweep(time.Now().Add(2 * time.Minute))
	s.gate.set(false)
	waiting.wantAnswer(http.StatusOK)
	for _, c := range []*testCaller{unused, head, idle} {
		c.wantEnd()
	}
}

// TestUnreadBodyDoesNotHoldTheAnswer guards against a caller that announces a body, sends nothing, and holds its
// connection for ever: net/http reads the rest of a body before it answers.
func TestUnreadBodyDoesNotHoldTheAnswer(t *testing.T) {
	g := newGuard()
	s := newGuardedServer(t, &http.Server{Handler: answering}, g)
	s.start(nil)
	c := s.dial()
	c.send(post("/", 100_000, ""))
	c.wantAnswer(http.StatusTooManyRequests)
	c.wantEnd()
	c.Close()
	wantNothingHeld(t, g)
}

// FuzzRequests sends bytes to a server and checks that it runs no request but those that are in the bytes, in their
// order, and that it holds nothing in the end.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		getRequest, getRequest + getRequest, post("/a", 3, "abc") + post("/b", 0, ""),
		"\r\n\r\n" + getRequest, strings.Repeat("\r\n", 1000),
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: v\r\n\r\n" + getRequest,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + getRequest,
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" + getRequest,
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("e", 9000),
		"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n",
		"GET / HTTP/1.1\r\n" + strings.Repeat("x", 20<<10), "GET / HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 3000),
		"GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		var mu sync.Mutex
		var ran []string
		g := newGuard()
		s := NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ran = append(ran, fmt.Sprintf("%s %s %q", r.Method, r.RequestURI, body))
		})}, g)
		address := filepath.Join(t.TempDir(), "s")
		l, err := net.Listen("unix", address)
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan error, 1)
		go func() {
			served <- s.Serve(&Listener{tcpListener: unixListener{l.(*net.UnixListener)}, tracker: newTracker()}, nil)
		}()
		defer func() { s.Close(); <-served }()
		c, err := net.Dial("unix", address)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			_, _ = c.Write(sent) // the server may close the connection before
			_ = c.(*net.UnixConn).CloseWrite()
		}()
		_ = c.SetDeadline(time.Now().Add(testTimeout)) // a read shows that it failed
		_, _ = io.Copy(io.Discard, c)                  // however the connection ends
		c.Close()
		wantNothingHeld(t, g)
		mu.Lock()
		defer mu.Unlock()
		want := requestsIn(sent, len(ran))
		if strings.Join(ran, "\n") != strings.Join(want, "\n") {
			t.Errorf("ran:\n%s\nsent:\n%s", strings.Join(ran, "\n"), strings.Join(want, "\n"))
		}
	})
}

// unixListener and unixConn are a port that takes no TCP port, of which there are too few for fuzzing.
type unixListener struct{ *net.UnixListener }

func (l unixListener) Accept() (net.Conn, error) {
	c, err := l.AcceptUnix()
	if err != nil {
		return nil, err
	}
	return unixConn{c}, nil
}

type unixConn struct{ *net.UnixConn }

func (unixConn) SetLinger(int) error { return nil }

// skipEmptyLines skips the empty lines before a request, which RFC 9112, section 2.2, has servers ignore.
func skipEmptyLines(r *bufio.Reader) {
	for {
		next, err := r.Peek(1)
		if err != nil || next[0] != '\r' && next[0] != '\n' {
			return
		}
		_, _ = r.Discard(1) // it was peeked
	}
}

// requestsIn returns the first n requests in bytes.
func requestsIn(sent []byte, n int) []string {
	var out []string
	for r := bufio.NewReader(bytes.NewReader(sent)); len(out) < n; {
		skipEmptyLines(r)
		req, err := http.ReadRequest(r)
		if err != nil {
			break
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			break
		}
		out = append(out, fmt.Sprintf("%s %s %q", req.Method, req.RequestURI, body))
	}
	return out
}
