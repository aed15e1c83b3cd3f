package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

func newServices(t *testing.T) *Services {
	s := NewServices(HTTPOptions{})
	t.Cleanup(func() { s.Close() })
	return s
}

// Method, path, host, body and end-to-end headers must be forwarded unchanged. Hop-by-hop
// headers, including those that Connection names, must be dropped in both directions.
func TestForwardDropsHopByHopHeaders(t *testing.T) {
	server := newServer(t, func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		for _, name := range []string{"Connection", "Keep-Alive", "Te", "Upgrade", "Proxy-Authorization", "X-Hop", "X-Hop2"} {
			if q.Header.Get(name) != "" {
				t.Errorf("header %s reached the service", name)
			}
		}
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "hop")
		w.Header().Set("X-Public", "end")
		w.WriteHeader(http.StatusTeapot)
		fmt.Fprintf(w, "%s %s %s %s %s", q.Method, q.RequestURI, q.Host, q.Header.Get("Idempotency-Key"), body)
	})
	a, err := newServices(t).Forward(testContext(t), ServiceCall{
		Address: server.URL, Method: "PUT", Path: "/vans/7%2F1", RawQuery: "q=1", Host: "tracker.example",
		Header: http.Header{
			"Idempotency-Key": {"k"}, "Connection": {"X-Hop, close", "X-Hop2"}, "X-Hop": {"1"}, "X-Hop2": {"1"}, "Keep-Alive": {"1"},
			"Te": {"trailers"}, "Upgrade": {"websocket"}, "Proxy-Authorization": {"secret"},
		},
		Body: strings.NewReader("body"), ContentLength: 4,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if want := "PUT /vans/7%2F1?q=1 tracker.example k body"; err != nil || string(body) != want || a.Status != http.StatusTeapot {
		t.Errorf("status %d, body %q, error %v", a.Status, body, err)
	}
	if a.Header.Get("X-Public") != "end" || a.Header.Get("X-Private") != "" || a.Header.Get("Connection") != "" {
		t.Errorf("headers %v", a.Header)
	}
}

// Forward must buffer neither body: here the service answers each line of the request
// before the next line is sent, so with a buffered body the test would hang.
func TestForwardStreamsBothWays(t *testing.T) {
	server := newServer(t, func(w http.ResponseWriter, q *http.Request) {
		controller := http.NewResponseController(w)
		_ = controller.EnableFullDuplex()
		_ = controller.Flush()
		lines := bufio.NewScanner(q.Body)
		for lines.Scan() {
			fmt.Fprintln(w, "echo "+lines.Text())
			_ = controller.Flush()
		}
	})
	body, send := io.Pipe()
	a, err := newServices(t).Forward(testContext(t), ServiceCall{Address: server.URL, Method: "POST", Path: "/", Body: body, ContentLength: -1})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	answers := bufio.NewScanner(a.Body)
	for i := range 5 {
		fmt.Fprintln(send, i)
		if !answers.Scan() || answers.Text() != fmt.Sprint("echo ", i) {
			t.Fatalf("line %d: %q, error %v", i, answers.Text(), answers.Err())
		}
	}
	send.Close()
	if answers.Scan() || answers.Err() != nil {
		t.Errorf("after the end: %q, error %v", answers.Text(), answers.Err())
	}
}

// If the connection breaks within the response body, reading the body must return ErrBroken
// and not io.EOF. Otherwise the caller would take a part of the body for the whole.
func TestForwardReportsTruncatedBody(t *testing.T) {
	server := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	a, err := newServices(t).Forward(testContext(t), ServiceCall{Address: server.URL, Method: "GET", Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	if body, err := io.ReadAll(a.Body); string(body) != "half" || !isBroken(err) {
		t.Errorf("body %q, error %v, want ErrBroken", body, err)
	}
}

var errCaller = errors.New("the caller's connection broke")

// failingBody returns errCaller on its second read.
type failingBody struct{ sent bool }

func (b *failingBody) Read(p []byte) (int, error) {
	if b.sent {
		return 0, errCaller
	}
	b.sent = true
	return copy(p, "half a dispatch"), nil
}

// If reading the request body fails after a part of it was sent, the service may have acted
// on that part. So the call must return ErrBroken and not ErrNotRun.
func TestForwardWithFailingRequestBodyIsBroken(t *testing.T) {
	server := newServer(t, func(_ http.ResponseWriter, q *http.Request) { _, _ = io.Copy(io.Discard, q.Body) })
	_, err := newServices(t).Forward(testContext(t), ServiceCall{Address: server.URL, Method: "POST", Path: "/", Body: &failingBody{}, ContentLength: 100})
	if !isBroken(err) || !errors.Is(err, errCaller) {
		t.Errorf("error %v, want ErrBroken with the caller's error", err)
	}
}

// A malformed call is not sent, so it must return ErrNotRun.
func TestForwardRefusesMalformedCalls(t *testing.T) {
	for name, call := range map[string]ServiceCall{
		"no slash":   {Address: "http://127.0.0.1:1", Method: "GET", Path: "x"},
		"bad method": {Address: "http://127.0.0.1:1", Method: "G T", Path: "/"},
		"bad escape": {Address: "http://127.0.0.1:1", Method: "GET", Path: "/%zz"},
		"address":    {Address: "x", Method: "GET", Path: "/"},
	} {
		if _, err := newServices(t).Forward(testContext(t), call); !isNotRun(err) {
			t.Errorf("%s: %v, want ErrNotRun", name, err)
		}
	}
}

// A GET without a body must be sent without one. As the request has a body that the transport
// cannot resend, it could also be sent with an empty chunked body.
func TestForwardSendsNoBodyForGet(t *testing.T) {
	server := newServer(t, func(w http.ResponseWriter, q *http.Request) {
		fmt.Fprint(w, q.ContentLength, len(q.TransferEncoding))
	})
	begun := time.Now()
	a, err := newServices(t).Forward(testContext(t), ServiceCall{Address: server.URL, Method: "GET", Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	defer a.Body.Close()
	if body, _ := io.ReadAll(a.Body); string(body) != "0 0" {
		t.Errorf("length and transfer encodings %q after %v", body, time.Since(begun))
	}
}

// TestOwnConnectionCarriesNoOtherCall guards against a late response to an earlier call that is taken for the response to
// one with a connection of its own: it may neither use a kept connection nor leave its own to later calls.
func TestOwnConnectionCarriesNoOtherCall(t *testing.T) {
	server := newServer(t, func(w http.ResponseWriter, q *http.Request) { fmt.Fprint(w, q.RemoteAddr) })
	services := newServices(t)
	call := func(own bool) (remote string, reused bool) {
		t.Helper()
		a, err := services.Forward(testContext(t), ServiceCall{Address: server.URL, Method: http.MethodGet, Path: "/", OwnConnection: own})
		if err != nil {
			t.Fatal(err)
		}
		defer a.Body.Close()
		data, err := io.ReadAll(a.Body)
		if err != nil {
			t.Fatal(err)
		}
		return string(data), a.Reused
	}
	kept, reused := call(false)
	if reused {
		t.Error("the first call reused a connection")
	}
	if again, reused := call(false); again != kept || !reused {
		t.Fatalf("the second call came from %s, want the kept connection from %s; reused %t", again, kept, reused)
	}
	seen := map[string]bool{kept: true}
	for range 3 {
		own, reused := call(true)
		if seen[own] || reused {
			t.Errorf("a call with its own connection came from %s, which carried another call; reused %t", own, reused)
		}
		seen[own] = true
	}
	if after, _ := call(false); seen[after] && after != kept {
		t.Errorf("a call used the connection of a call with its own, from %s", after)
	}
}
