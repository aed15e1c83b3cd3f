package platform_test

import (
	"context"
	"encoding/pem"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	standin "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func newClient(t *testing.T, cfg platform.ClientConfig) *platform.Client {
	t.Helper()
	if cfg.CallsPerSecond == 0 {
		cfg.CallsPerSecond = 1000
	}
	cfg.Backoff = platform.Backoff{Base: time.Millisecond, Max: 5 * time.Millisecond}
	client, err := platform.NewClient(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }

// respond returns a handler that writes a fixed response.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// A failed write must return ErrUnavailable only if it provably had no effect, and ErrOutcomeUnknown
// if the platform's own answer did not arrive. Otherwise a write that took effect would be
// taken for one that did not. A failed read has no effect in any case.
func TestCallErrors(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body
		<-r.Context().Done()
	}
	cases := []struct {
		name        string
		handler     http.HandlerFunc
		read, write error
	}{
		{"connection closed without an answer", closeConnection, platform.ErrUnavailable, platform.ErrOutcomeUnknown},
		{"no answer in time", hang, platform.ErrUnavailable, platform.ErrOutcomeUnknown},
		{"answer cut short", respond(200, `{"kind":"Rou`), platform.ErrUnavailable, platform.ErrOutcomeUnknown},
		{"a proxy's 502", respond(502, `<html>bad gateway`), platform.ErrUnavailable, platform.ErrOutcomeUnknown},
		{"a proxy's 503", respond(503, ``), platform.ErrUnavailable, platform.ErrOutcomeUnknown},
		{"a proxy's 429", respond(429, ``), platform.ErrUnavailable, platform.ErrUnavailable},
		{"the platform's own 503", respond(503, `{"code":"unavailable"}`), platform.ErrUnavailable, platform.ErrUnavailable},
		{"an unknown code", respond(500, `{"code":"surprise"}`), platform.ErrUnavailable, platform.ErrOutcomeUnknown},
		{"conflict", respond(409, `{"code":"conflict"}`), platform.ErrConflict, platform.ErrConflict},
		{"not found", respond(404, `{"code":"not_found"}`), platform.ErrNotFound, platform.ErrNotFound},
		{"key refused", respond(401, `{"code":"denied"}`), platform.ErrDenied, platform.ErrDenied},
		{"key refused had no effect", respond(401, `{"code":"denied"}`), platform.ErrUnavailable, platform.ErrUnavailable},
		{"too large", respond(413, `{"code":"too_large"}`), platform.ErrTooLarge, platform.ErrTooLarge},
		{"invalid", respond(400, `{"code":"invalid"}`), platform.ErrInvalid, platform.ErrInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			client := newClient(t, platform.ClientConfig{Address: server.URL, Timeout: 300 * time.Millisecond})
			o := platform.Object{Kind: "Route", Name: "a", Version: 3}
			_, err := client.Get(testContext(t), "Route", "a")
			wantError(t, err, c.read)
			_, err = client.Create(testContext(t), o)
			wantError(t, err, c.write)
			_, err = client.Update(testContext(t), o)
			wantError(t, err, c.write)
			err = client.Delete(testContext(t), "Route", "a", 3, "w", "n")
			if c.name == "answer cut short" { // Delete reads only the status of a success
				wantError(t, err, nil)
				return
			}
			wantError(t, err, c.write)
		})
	}
}

func wantError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
}

// If no connection was made, a write provably had no effect. It must return ErrUnavailable
// and not ErrOutcomeUnknown.
func TestFailedConnectionIsUnavailable(t *testing.T) {
	client := newClient(t, platform.ClientConfig{Address: "http://" + testport.Address(t)})
	_, err := client.Create(testContext(t), platform.Object{Kind: "Route", Name: "a"})
	wantError(t, err, platform.ErrUnavailable)
}

// http.Transport resends some requests when a reused connection is closed. It must
// not resend a write, because the first send may have taken effect.
func TestWritesAreSentOnce(t *testing.T) {
	var writes atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			respond(200, `{}`)(w, r)
			return
		}
		writes.Add(1)
		closeConnection(w, r)
	}))
	defer server.Close()
	client := newClient(t, platform.ClientConfig{Address: server.URL})
	if _, err := client.Get(testContext(t), "Route", "a"); err != nil { // leaves an idle connection
		t.Fatal(err)
	}
	wantError(t, client.Delete(testContext(t), "Route", "a", 0, "w", "n"), platform.ErrOutcomeUnknown)
	if n := writes.Load(); n != 1 {
		t.Fatalf("the write arrived %d times", n)
	}
}

// A client with an unusable address or CA file must be refused when it is created, with a
// message that names the fault.
func TestBadClientConfig(t *testing.T) {
	notPEM := filepath.Join(t.TempDir(), "ca.pem")
	if err := os.WriteFile(notPEM, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		cfg  platform.ClientConfig
		want string
	}{
		{platform.ClientConfig{}, `platform address ""`},
		{platform.ClientConfig{Address: "ftp://a"}, `"ftp://a"`},
		{platform.ClientConfig{Address: "127.0.0.1:80"}, "127.0.0.1:80"},
		{platform.ClientConfig{Address: "http://a", CAFile: "/does/not/exist"}, "CA file"},
		{platform.ClientConfig{Address: "http://a", CAFile: notPEM}, "no PEM certificate"},
	}
	for _, c := range cases {
		if _, err := platform.NewClient(c.cfg); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: error %v, want one with %q", c.cfg, err, c.want)
		}
	}
}

// A client with a CA file must trust a server whose certificate is in the file. A client with
// another key must get ErrDenied.
func TestCAFileIsTrusted(t *testing.T) {
	s := standin.New(standin.Config{Key: "k"})
	server := httptest.NewTLSServer(s.Handler())
	defer server.Close()
	path := filepath.Join(t.TempDir(), "ca.pem")
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	if err := os.WriteFile(path, block, 0o600); err != nil {
		t.Fatal(err)
	}
	client := newClient(t, platform.ClientConfig{Address: server.URL, CAFile: path, Key: "k"})
	if _, err := client.Create(testContext(t), platform.Object{Kind: "Route", Name: "a"}); err != nil {
		t.Fatal(err)
	}
	stranger := newClient(t, platform.ClientConfig{Address: server.URL, CAFile: path, Key: "other"})
	_, err := stranger.Get(testContext(t), "Route", "a")
	wantError(t, err, platform.ErrDenied)
}

// A call beyond the rate limit must not be sent if the limiter allows it only after the
// timeout. As it had no effect, it must return ErrUnavailable.
func TestRateLimiterBoundsCalls(t *testing.T) {
	s := standin.New(standin.Config{})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client := newClient(t, platform.ClientConfig{Address: server.URL, CallsPerSecond: 0.001, Burst: 2, Timeout: time.Second})
	for range 2 {
		if _, _, err := client.List(testContext(t), "Route"); err != nil {
			t.Fatal(err)
		}
	}
	_, err := client.Create(testContext(t), platform.Object{Kind: "Route", Name: "a"})
	wantError(t, err, platform.ErrUnavailable)
	if stats := s.Stats(); stats.Reads != 2 || stats.Writes != 0 {
		t.Fatalf("calls beyond the rate limit arrived: %+v", stats)
	}
}

// A watch whose connection is dead delivers nothing and doesn't end. It must be reopened after
// WatchIdle, from the version of the last event that it delivered (at first the version with
// which it was opened). Here two connections are dead from the start, one is dead after its
// event, and one ends after its event.
func TestIdleWatchIsReopened(t *testing.T) {
	const from, deadAfter, endAfter, last = 7, 8, 9, 10
	var opened atomic.Int32
	var sent, received atomic.Uint64 // versions of the last events
	sent.Store(from)
	received.Store(from)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		first, highest := received.Load(), sent.Load() // the last event delivered is one of these
		version, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
		if err != nil || version < first || version > highest {
			t.Errorf("opened from %q, want %d to %d", r.URL.Query().Get("from"), first, highest)
			respond(http.StatusBadRequest, `{"code":"invalid"}`)(w, r) // ends the watch
			return
		}
		if opened.Add(1) >= 3 && version < last {
			sent.Store(max(highest, version+1))
			fmt.Fprintf(w, `{"type":"put","object":{"kind":"Route","name":"a","version":%d}}`+"\n", version+1)
			if version+1 == endAfter {
				return
			}
		}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done() // sends nothing more, as in a network partition
	}))
	defer server.Close()
	client := newClient(t, platform.ClientConfig{Address: server.URL, WatchIdle: 20 * time.Millisecond})
	w, err := client.Watch(testContext(t), nil, from)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	for _, want := range []uint64{deadAfter, endAfter, last} {
		e, err := w.Next(testContext(t))
		if err != nil || e.Object.Version != want {
			t.Fatalf("event %+v, %v, want version %d", e, err, want)
		}
		received.Store(want)
	}
}

// TestWatchEventWithoutEndIsBounded guards against a platform that sends an event without end, all of which would be held
// in memory for as long as the watch may be idle.
func TestWatchEventWithoutEndIsBounded(t *testing.T) {
	var written atomic.Int64 // on all connections
	var opened atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if opened.Add(1) > 1 {
			fmt.Fprintln(w, `{"type":"put","object":{"kind":"Route","name":"a","version":8}}`)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			return
		}
		part := []byte(strings.Repeat("b", 64<<10))
		fmt.Fprint(w, `{"type":"`)
		for {
			n, err := w.Write(part)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client := newClient(t, platform.ClientConfig{Address: server.URL, WatchIdle: 2 * time.Second})
	w, err := client.Watch(testContext(t), nil, 7)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if e, err := w.Next(testContext(t)); err != nil || e.Object.Version != 8 {
		t.Errorf("event %+v, %v, want version 8", e, err)
	}
	const socketBuffers = 16 << 20 // bytes that may be written and not read
	if n := written.Load(); n > 4*platform.MaxValueBytes+socketBuffers {
		t.Errorf("%d bytes of an event were taken", n)
	}
}

// During an outage more changes occur than the platform's history holds. The watch that is
// reopened after the outage misses events, so it must return ErrHistoryGone.
func TestWatchReportsLostHistory(t *testing.T) {
	s := standin.New(standin.Config{HistoryEvents: 2})
	server, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	client := newClient(t, platform.ClientConfig{Address: server.URL, WatchGiveUp: testTimeout})
	w, err := client.Watch(testContext(t), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if _, err := w.Next(testContext(t)); err != nil { // the first bookmark
		t.Fatal(err)
	}
	s.SetFault(standin.Fault{Outage: true})
	for s.Stats().WatchesOpen > 0 {
		time.Sleep(time.Millisecond)
	}
	for i := range 5 { // more changes than the history holds
		s.PutInstance(strconv.Itoa(i), resource.Instance{})
	}
	s.SetFault(standin.Fault{})
	for err == nil {
		_, err = w.Next(testContext(t))
	}
	wantError(t, err, platform.ErrHistoryGone)
}

// If the context that a watch was opened with ends, Next must return its error. Close may be
// called after that, and twice.
func TestWatchEndsWithItsContext(t *testing.T) {
	server := httptest.NewServer(standin.New(standin.Config{}).Handler())
	defer server.Close()
	client := newClient(t, platform.ClientConfig{Address: server.URL})
	ctx, cancel := context.WithCancel(t.Context())
	w, err := client.Watch(ctx, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	for err == nil {
		_, err = w.Next(testContext(t))
	}
	wantError(t, err, context.Canceled)
	w.Close()
	w.Close()
}

// The maximum delay must double with each attempt and stay at Max, also after so many attempts
// that doubling would overflow.
func TestBackoffStaysUnderItsCeiling(t *testing.T) {
	b := platform.Backoff{Base: 10 * time.Millisecond, Max: time.Second}
	for attempt, want := range map[int]time.Duration{
		0: 10 * time.Millisecond, 1: 20 * time.Millisecond, 6: 640 * time.Millisecond, 7: time.Second, 500: time.Second,
	} {
		if got := b.Ceiling(attempt); got != want {
			t.Errorf("attempt %d: ceiling %s, want %s", attempt, got, want)
		}
		if got := b.Delay(attempt, 0.5); got != want/2 {
			t.Errorf("attempt %d: delay %s, want %s", attempt, got, want/2)
		}
	}
}
