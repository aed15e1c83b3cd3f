package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/caller"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// startCallersPort starts the callers' port of an instance without a configuration, which answers every
// request with 503. grace is the time for a graceful shutdown. It returns the port's address.
func startCallersPort(t *testing.T, grace time.Duration) (*Entry, string) {
	t.Helper()
	s := &settings.Entry{Instance: settings.Instance{Name: "i-1", Zone: "z1"}}
	s.SetDefaults()
	s.Bounds.GraceSeconds = grace.Seconds()
	e := New(Config{Settings: s, Dialect: &stepDialect{reached: func(step) {}, timeout: 30 * time.Second}, Engines: &countingEngines{}})
	l, err := caller.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = e.callerServer.Serve(l, nil) }()
	t.Cleanup(func() { e.callerServer.Close(); <-done })
	return e, l.Addr().String()
}

// rawCaller is a caller that writes bytes to a connection when a test wants it to.
type rawCaller struct {
	t *testing.T
	net.Conn
	answers *bufio.Reader
}

func dialRaw(t *testing.T, address string) *rawCaller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &rawCaller{t: t, Conn: c, answers: bufio.NewReader(c)}
}

// send writes a part of a request.
func (c *rawCaller) send(part string) {
	c.t.Helper()
	if _, err := io.WriteString(c, part); err != nil {
		c.t.Fatalf("sending: %v", err)
	}
}

// wantAnswer reads an answer to its end and checks its status.
func (c *rawCaller) wantAnswer(status int) *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		c.t.Errorf("the answer is incomplete: %v", err)
	}
	if resp.StatusCode != status {
		c.t.Errorf("status %d, want %d", resp.StatusCode, status)
	}
	return resp
}

// TestRefusalReachesCallerThatStillSends guards against a connection that is reset under a caller which still
// sends the body of a refused request: such a caller may never see the refusal.
func TestRefusalReachesCallerThatStillSends(t *testing.T) {
	for _, connection := range []string{"close", "keep-alive"} {
		t.Run(connection, func(t *testing.T) {
			_, address := startCallersPort(t, 1500*time.Millisecond)
			c := dialRaw(t, address)
			const parts, partBytes = 32, 32 << 10
			c.send(fmt.Sprintf("POST /p/x HTTP/1.1\r\nHost: example.com\r\nConnection: %s\r\nContent-Length: %d\r\n\r\n", connection, parts*partBytes))
			for range parts {
				time.Sleep(30 * time.Millisecond)
				c.send(strings.Repeat("x", partBytes))
			}
			c.wantAnswer(http.StatusServiceUnavailable)
		})
	}
}

// waitUntilStopping waits until the instance has begun its graceful shutdown.
func waitUntilStopping(t *testing.T, e *Entry) {
	t.Helper()
	eventually(t, "the shutdown begins", func() bool { return e.stage.Load() == stageLeaving })
}

const testRequest = "GET /p/x HTTP/1.1\r\nHost: example.com\r\n\r\n"

// TestRequestOnKeptConnectionIsAnsweredWhileLeaving guards against the end of idle connections when a
// graceful shutdown begins: a request that is on its way to one would be cut without an answer.
func TestRequestOnKeptConnectionIsAnsweredWhileLeaving(t *testing.T) {
	e, address := startCallersPort(t, 1500*time.Millisecond)
	c := dialRaw(t, address)
	c.send(testRequest)
	c.wantAnswer(http.StatusServiceUnavailable)
	stopped := make(chan struct{})
	go func() { defer close(stopped); e.stop() }()
	waitUntilStopping(t, e)
	c.send(testRequest)
	if resp := c.wantAnswer(http.StatusServiceUnavailable); !resp.Close {
		t.Error("the caller isn't asked to close its connection")
	}
	<-stopped
}

// TestRequestThatArrivesWhenThePortClosesIsAnswered guards against a request that is dropped without an answer
// because the last bytes of its header arrive when the port was just closed.
func TestRequestThatArrivesWhenThePortClosesIsAnswered(t *testing.T) {
	e, address := startCallersPort(t, 1500*time.Millisecond)
	begun, fresh := dialRaw(t, address), dialRaw(t, address)
	begun.send(testRequest[:len(testRequest)-2])
	stopped := make(chan struct{})
	go func() { defer close(stopped); e.stop() }()
	waitUntilStopping(t, e)
	eventually(t, "the port is closed", func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	begun.send(testRequest[len(testRequest)-2:])
	if resp := begun.wantAnswer(http.StatusServiceUnavailable); resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("header %v, want a Retry-After and the end of the connection", resp.Header)
	}
	fresh.Close()
	<-stopped
}

// TestRequestAbortedByShutdownIsAnswered guards against a connection that is closed at the end of the grace
// period before its caller was told that the request was aborted.
func TestRequestAbortedByShutdownIsAnswered(t *testing.T) {
	received, release := make(chan struct{}, 1), make(chan struct{})
	upstream := startSilentUpstream(t, received, release)
	e, address := startCallersPort(t, 5*time.Second)
	e.state.install(routing.New(1, []routing.Route{{
		Name: "r", Host: "example.com", PathPrefix: "/p/", Kind: routing.Streaming, MaxAttempts: 1,
		Objective: 10 * time.Second, Timeout: 30 * time.Second, Targets: []routing.Target{{Service: "s", Weight: 1}},
	}}, []routing.Service{{Name: "s"}}, routing.Limits{}))
	e.updateFleet(func(now time.Time, f *fleet.Core) {
		f.Put(now, fleet.Upstream{ID: "u", Service: "s", Address: upstream, Zone: "z1", Slots: 8})
	})
	recordVersions(e, "s", "")
	c := dialRaw(t, address)
	c.send(testRequest)
	select {
	case <-received:
	case <-time.After(20 * time.Second):
		t.Fatal("the request doesn't reach the upstream")
	}
	stopped := make(chan struct{})
	go func() { defer close(stopped); e.stop() }()
	c.wantAnswer(http.StatusBadGateway)
	close(release)
	<-stopped
}

// startSilentUpstream starts an upstream that doesn't answer before release is closed, and returns its address.
func startSilentUpstream(t *testing.T, received chan<- struct{}, release <-chan struct{}) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received <- struct{}{}
		<-release
	})}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close(); <-done })
	return l.Addr().String()
}
