package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/ragworttrestle/ragworttrestle/internal/testport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each test. It is long because no test here checks speed.
const testTimeout = time.Minute

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// newEngine returns a client that is closed at the end of the test.
func newEngine(t *testing.T, address string, o HTTPOptions) Engine {
	e := NewHTTP(address, o)
	t.Cleanup(func() { e.(io.Closer).Close() })
	return e
}

// newServer starts a server that is closed at the end of the test.
func newServer(t *testing.T, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s
}

// counter counts what a server received, such as requests and connections, by name.
type counter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (s *counter) add(what string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = map[string]int{}
	}
	s.counts[what]++
	return s.counts[what]
}

func (s *counter) count(what string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[what]
}

func isNotRun(err error) bool { return errors.Is(err, ErrNotRun) }
func isBroken(err error) bool { return errors.Is(err, ErrBroken) && !errors.Is(err, ErrNotRun) }

// serveDroppingSecond starts a server that answers the first request of each
// connection, and on the second one reads the whole request and closes the
// connection without an answer. It returns the server's URL.
func serveDroppingSecond(t *testing.T, got *counter, answer func(*http.Request) string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	t.Cleanup(func() { l.Close(); conns.Wait() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			got.add("connections")
			conns.Go(func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					q, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					got.add("requests")
					if n == 1 {
						return
					}
					fmt.Fprint(c, answer(q))
				}
			})
		}
	}()
	return "http://" + l.Addr().String()
}

// rawResponse returns the bytes of an HTTP response.
func rawResponse(body string, header ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(body), strings.Join(header, ""), body)
}

// A server that reads a request on a reused connection and then closes the connection may
// have run the request. In this case http.Transport resends a request that it considers
// replayable, so the run would start twice.
func TestRunIsNeverResentOnAReusedConnection(t *testing.T) {
	var got counter
	url := serveDroppingSecond(t, &got, func(*http.Request) string {
		return rawResponse("data: {\"end\":{\"run_id\":\"r\",\"tokens\":0}}\n\n", "Content-Type: text/event-stream\r\n", "Ragwort-Run-Id: r\r\n")
	})
	e := newEngine(t, url, HTTPOptions{})
	ctx := testContext(t)
	s, err := e.Run(ctx, RunRequest{RunID: "r"})
	if err != nil {
		t.Fatal(err)
	}
	if item, err := s.Recv(ctx); err != nil || item.End == nil {
		t.Fatalf("item %+v, error %v", item, err)
	}
	s.Close()
	_, err = e.Run(ctx, RunRequest{RunID: "r"})
	if !isBroken(err) {
		t.Errorf("run without an answer: %v, want ErrBroken and not ErrNotRun", err)
	}
	if got.count("connections") != 1 || got.count("requests") != 2 {
		t.Errorf("server saw %v, want 2 requests on 1 connection", got.counts)
	}
}

// As TestRunIsNeverResentOnAReusedConnection, for calls of plain services with the headers
// and methods that make http.Transport consider a request replayable.
func TestForwardIsNeverResentOnAReusedConnection(t *testing.T) {
	for name, call := range map[string]ServiceCall{
		"POST with key":             {Method: "POST", Header: http.Header{"Idempotency-Key": {"k"}}, Body: strings.NewReader("van")},
		"POST with key and no body": {Method: "POST", Header: http.Header{"Idempotency-Key": {"k"}}},
		"GET":                       {Method: "GET"},
	} {
		t.Run(name, func(t *testing.T) {
			var got counter
			call.Address = serveDroppingSecond(t, &got, func(*http.Request) string { return rawResponse("ok") })
			call.Path = "/dispatch"
			s := NewServices(HTTPOptions{})
			defer s.Close()
			ctx := testContext(t)
			first := call
			first.Body = nil
			a, err := s.Forward(ctx, first)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, a.Body)
			a.Body.Close()
			if _, err := s.Forward(ctx, call); !isBroken(err) {
				t.Errorf("call without an answer: %v, want ErrBroken and not ErrNotRun", err)
			}
			if got.count("connections") != 1 || got.count("requests") != 2 {
				t.Errorf("server saw %v, want 2 requests on 1 connection", got.counts)
			}
		})
	}
}

// This test shows that the two tests above can fail: an http.Transport without the measures
// of this package does resend the request.
func TestPlainTransportResends(t *testing.T) {
	var got counter
	url := serveDroppingSecond(t, &got, func(*http.Request) string { return rawResponse("ok") })
	plain := &http.Transport{}
	defer plain.CloseIdleConnections()
	for range 2 {
		req, _ := http.NewRequestWithContext(testContext(t), "POST", url, strings.NewReader("van"))
		req.Header.Set("Idempotency-Key", "k")
		resp, err := plain.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if got.count("requests") != 3 {
		t.Fatalf("server saw %v; net/http no longer resends, so the tests above need another case", got.counts)
	}
}

// A call for which no connection was made was never sent. Every method must return
// ErrNotRun then, so that the caller may send the request to another upstream.
func TestNoConnectionIsNotRun(t *testing.T) {
	dead := "http://" + testport.Address(t)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for name, c := range map[string]struct {
		ctx     context.Context
		address string
	}{
		"nobody listens":     {testContext(t), dead},
		"canceled before":    {canceled, dead},
		"malformed address":  {testContext(t), "127.0.0.1:1"},
		"unknown scheme":     {testContext(t), "ftp://127.0.0.1:1"},
		"unresolvable name":  {testContext(t), "http://name.invalid:1"},
		"address with space": {testContext(t), "http://a b"},
	} {
		e := newEngine(t, c.address, HTTPOptions{})
		_, runErr := e.Run(c.ctx, RunRequest{RunID: "r"})
		_, resumeErr := e.Resume(c.ctx, "r", 0)
		_, orderErr := e.Order(c.ctx, Order{ID: "o"})
		_, prefillErr := e.Prefill(c.ctx, RunRequest{RunID: "r"})
		s := NewServices(HTTPOptions{})
		_, forwardErr := s.Forward(c.ctx, ServiceCall{Address: c.address, Method: "POST", Path: "/"})
		for i, err := range []error{runErr, resumeErr, orderErr, prefillErr, forwardErr} {
			if !isNotRun(err) || errors.Is(err, ErrBroken) {
				t.Errorf("%s: call %d: %v, want ErrNotRun", name, i, err)
			}
		}
	}
}

// Only the engine's own refusal of this request proves that the request did not run. A
// proxy can answer with the same status after the engine has received the request; if that
// were taken for a refusal, the request could run twice.
func TestOnlyMatchingRefusalIsNotRun(t *testing.T) {
	const own = `{"refusal":{"code":"overloaded","subject":"r"}}`
	for name, c := range map[string]struct {
		status int
		body   string
		cut    bool
		notRun bool
	}{
		"own refusal":         {503, own, false, true},
		"bare 503":            {503, "", false, false},
		"503 of a balancer":   {503, "<html>no healthy upstream</html>", false, false},
		"other JSON":          {503, `{"error":{"message":"overloaded"}}`, false, false},
		"refusal of another":  {503, `{"refusal":{"code":"overloaded","subject":"q"}}`, false, false},
		"code not in list":    {503, `{"refusal":{"code":"tired","subject":"r"}}`, false, false},
		"no code":             {503, `{"refusal":{"subject":"r"}}`, false, false},
		"cut refusal":         {503, own, true, false},
		"refusal with 200":    {200, own, false, false},
		"bare 429":            {429, "", false, false},
		"bare 404":            {404, "", false, false},
		"redirect":            {307, "", false, false},
		"refusal, other form": {400, own, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			var got counter
			s := newServer(t, func(w http.ResponseWriter, q *http.Request) {
				got.add("requests")
				w.Header().Set("Location", "/elsewhere")
				if c.cut {
					w.Header().Set("Content-Length", fmt.Sprint(len(c.body)+1))
				}
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			})
			_, err := newEngine(t, s.URL, HTTPOptions{}).Run(testContext(t), RunRequest{RunID: "r"})
			if isNotRun(err) != c.notRun || isBroken(err) == c.notRun {
				t.Errorf("error %v, want ErrNotRun: %v", err, c.notRun)
			}
			if got.count("requests") != 1 {
				t.Errorf("server saw %d requests", got.count("requests"))
			}
		})
	}
}

// Every refusal must match ErrNotRun except RefusedUnknownRun: the engine may have run the
// request in an earlier incarnation, which the current one does not know of.
func TestRefusalCodesMatch(t *testing.T) {
	for code, want := range map[RefusalCode][]error{
		RefusedRestarted:  {ErrRestarted, ErrNotRun},
		RefusedUnknownRun: {ErrUnknownRun},
		RefusedStaleFence: {ErrStaleFence, ErrNotRun},
		RefusedBusy:       {ErrBusy, ErrNotRun},
		RefusedLeaving:    {ErrNotRun},
	} {
		s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(409)
			fmt.Fprintf(w, `{"refusal":{"code":%q,"subject":"r","message":"because"}}`, code)
		})
		_, err := newEngine(t, s.URL, HTTPOptions{}).Run(testContext(t), RunRequest{RunID: "r"})
		for _, w := range want {
			if !errors.Is(err, w) {
				t.Errorf("%s: %v, want a match of %v", code, err, w)
			}
		}
		if got, ok := RefusalCodeOf(err); !ok || got != code || isNotRun(err) != (code != RefusedUnknownRun) {
			t.Errorf("%s: %v", code, err)
		}
	}
}

// Calls are canceled at random moments. A call that returned ErrNotRun must never reach the
// server: http.Transport could still write the request after the call has returned.
func TestNotRunHoldsUnderCancellation(t *testing.T) {
	const calls = 3000
	var got counter
	s := newServer(t, func(w http.ResponseWriter, q *http.Request) {
		got.add(q.Header.Get("Call"))
		_, _ = io.Copy(io.Discard, q.Body)
	})
	services := NewServices(HTTPOptions{})
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	notRun := map[string]bool{}
	var group sync.WaitGroup
	slots := make(chan struct{}, 16)
	for i := range calls {
		slots <- struct{}{}
		after := time.Duration(random.IntN(300)) * time.Microsecond
		group.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(context.Background(), after)
			defer cancel()
			name := fmt.Sprint(i)
			a, err := services.Forward(ctx, ServiceCall{
				Address: s.URL, Method: "POST", Path: "/", Header: http.Header{"Call": {name}}, Body: strings.NewReader("body"),
			})
			if err == nil {
				_, _ = io.Copy(io.Discard, a.Body)
				a.Body.Close()
			}
			if isNotRun(err) {
				mu.Lock()
				notRun[name] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	services.Close()
	s.Close() // waits for what is still being served
	received := 0
	for name := range notRun {
		if got.count(name) > 0 {
			received++
		}
	}
	t.Logf("%d of %d calls returned ErrNotRun, %d of these reached the server", len(notRun), calls, received)
	if received > 0 || len(notRun) == 0 || len(notRun) == calls {
		t.Errorf("%d calls returned ErrNotRun, %d of these reached the server", len(notRun), received)
	}
}

// No request may be written to a reused connection that the server has closed, or on which
// the server has sent an unsolicited response: the outcome of the request would be unknown,
// or the response would be taken for its own.
func TestReusedConnectionMustBeIdle(t *testing.T) {
	for name, act := range map[string]func(net.Conn){
		"closed":  func(c net.Conn) { c.Close() },
		"unasked": func(c net.Conn) { fmt.Fprint(c, rawResponse("crossed")) },
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		raw, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer raw.Close()
		server, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		c := &sealConn{Conn: raw}
		c.markReused()
		if _, err := c.Write([]byte("one")); err != nil {
			t.Errorf("%s: write to an idle connection: %v", name, err)
		}
		before := c.writeCount()
		act(server)
		for deadline := time.Now().Add(testTimeout); !readable(raw) && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		c.markReused()
		if _, err := c.Write([]byte("two")); !errors.Is(err, errNotIdle) || !c.sealIfUnwritten(before) {
			t.Errorf("%s: write: %v after %d writes, want errNotIdle and a sealed connection", name, err, c.writeCount())
		}
	}
}

// sealIfUnwritten must seal a connection only if no write was begun since the given count,
// and a sealed connection must refuse writes. Otherwise ErrNotRun could be returned for a
// request that is sent.
func TestSealedConnRefusesWrites(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	go func() { _, _ = io.Copy(io.Discard, b) }()
	c := &sealConn{Conn: a}
	if _, err := c.Write([]byte("one")); err != nil {
		t.Fatal(err)
	}
	if c.sealIfUnwritten(0) {
		t.Error("sealed although a write was begun")
	}
	if !c.sealIfUnwritten(c.writeCount()) {
		t.Error("not sealed although nothing was written")
	}
	if _, err := c.Write([]byte("two")); !errors.Is(err, errSealed) {
		t.Errorf("write to a sealed connection: %v", err)
	}
}
