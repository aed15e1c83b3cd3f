package holds

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
	standin "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
)

// testServer accepts connections and closes or resets them on request. It stands for an upstream.
type testServer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func newTestServer(t *testing.T) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &testServer{listener: l}
	t.Cleanup(func() { l.Close(); h.closeConns() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns = append(h.conns, c)
			h.mu.Unlock()
		}
	}()
	return h
}

func (h *testServer) address() string { return h.listener.Addr().String() }

// closeConns closes all connections, as the closeConns of a process does, but keeps listening.
func (h *testServer) closeConns() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		c.Close()
	}
	h.conns = nil
}

// resetConns resets all connections, as a cut network link does.
func (h *testServer) resetConns() {
	h.mu.Lock()
	for _, c := range h.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	h.mu.Unlock()
	h.closeConns()
}

func (h *testServer) accepted() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns)
}

// TestLivenessConnDetectsProcessEnd guards against a missed crash when the process is restarted at once, so that its port
// refuses no connection, and against holds when the process keeps running or a network link resets all connections.
func TestLivenessConnDetectsProcessEnd(t *testing.T) {
	for name, c := range map[string]struct {
		interrupt func(h *testServer)
		linkErr   error // of the check of the address; nil: it is connected to
		held      bool
	}{
		"restarts at once": {(*testServer).closeConns, nil, true},
		"keeps running":    {func(*testServer) {}, nil, false},
		"link reset":       {(*testServer).resetConns, nil, false},
		"link closed":      {(*testServer).closeConns, errors.New("the link is down"), false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestServer(t)
			k := newInstance(t, "i-1", standin.New(standin.Config{}))
			if c.linkErr != nil {
				k.cfg.CheckReachable = func(context.Context, quarantine.Incarnation, string, time.Duration) error { return c.linkErr }
			}
			if k.OpenLivenessConn(t.Context(), work, h.address()) != nil {
				t.Fatal("witness opened for work that needs none")
			}
			for range 3 {
				sent := time.Now()
				conn := k.OpenLivenessConn(t.Context(), work, h.address())
				if conn != nil {
					eventually(t, "the witness is accepted", func() bool { return h.accepted() > 0 })
				}
				time.Sleep(150 * time.Millisecond) // as long as the work runs
				c.interrupt(h)
				k.HandleBrokenSend(BrokenSend{Content: work, Incarnation: "u", Address: h.address(), Sent: sent, LivenessConn: conn})
				time.Sleep(50 * time.Millisecond)
			}
			if c.held {
				eventually(t, "the work is held", func() bool { return k.Held(work) })
				return
			}
			time.Sleep(livenessConnTolerance)
			if k.Held(work) {
				t.Error("held although no process ended")
			}
		})
	}
}

// TestLivenessConnEndedEarlierIsNoProcessEnd guards against taking a planned stop for a crash: a process that stops as
// planned closes its idle connections, such as the liveness connection, some time before those with requests.
func TestLivenessConnEndedEarlierIsNoProcessEnd(t *testing.T) {
	h := newTestServer(t)
	k := newInstance(t, "i-1", standin.New(standin.Config{}))
	k.SendBroken(work, "u", time.Now())
	conn := k.OpenLivenessConn(t.Context(), work, h.address())
	if conn == nil {
		t.Fatal("no witness opened after a broken send")
	}
	defer CloseLivenessConn(conn)
	eventually(t, "the witness is accepted", func() bool { return h.accepted() > 0 })
	h.closeConns()
	if conn.ClosedNear(t.Context(), time.Now().Add(2*livenessConnTolerance), livenessConnTolerance) {
		t.Error("taken for the end of the process")
	}
}

// TestBrieflyUnreachableUpstreamHasEnded guards against a missed crash when a process closes its port after its
// connections, so that the first check after the broken send still succeeds.
func TestBrieflyUnreachableUpstreamHasEnded(t *testing.T) {
	h := newTestServer(t)
	k := newInstance(t, "i-1", standin.New(standin.Config{}))
	k.HandleBrokenSend(BrokenSend{Content: work, Incarnation: quarantine.Incarnation("u"), Address: h.address(), Sent: time.Now()})
	h.listener.Close()
	eventually(t, "the end is found", func() bool { return len(k.UpstreamsToCheck()) == 0 })
}
