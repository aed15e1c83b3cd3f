package upstream

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// orderServer starts a server that counts in got the connections and requests that it
// receives, and answers requests by h.
func orderServer(t *testing.T, got *counter, h http.HandlerFunc) *httptest.Server {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		got.add("requests")
		h(w, q)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			got.add("connections")
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// answerState writes a State for order "o" of runner "a".
func answerState(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprint(w, `{"runner":"a","order_id":"o"}`)
}

// An old order could wait in a pooled connection and be delivered late. So each order must
// have a connection of its own.
func TestOrdersDoNotShareConnections(t *testing.T) {
	var got counter
	s := orderServer(t, &got, answerState)
	e := newEngine(t, s.URL, HTTPOptions{Name: "a"})
	for range 3 {
		if _, err := e.State(testContext(t)); err != nil { // leaves an idle connection
			t.Fatal(err)
		}
		if st, err := e.Order(testContext(t), Order{ID: "o"}); err != nil || st.OrderID != "o" {
			t.Fatalf("state %+v, error %v", st, err)
		}
	}
	if got.count("connections") != 4 || got.count("requests") != 6 {
		t.Errorf("server saw %v, want 1 connection for states and 3 for orders", got.counts)
	}
}

// An order that is not answered must end, and its connection must be closed, as soon as
// one of these passes: OrderLifetime, the context's deadline or cancellation, or the deadline
// of WithOrderDeadline.
func TestOrderEndsAtDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		life time.Duration
		with func(context.Context) (context.Context, context.CancelFunc)
	}{
		"order life": {30 * time.Millisecond, context.WithCancel},
		"context": {testTimeout, func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 30*time.Millisecond)
		}},
		"order deadline": {testTimeout, func(ctx context.Context) (context.Context, context.CancelFunc) {
			return WithOrderDeadline(ctx, boottime.Now().Add(30*time.Millisecond)), func() {}
		}},
		"canceled": {testTimeout, func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(30*time.Millisecond, cancel)
			return ctx, cancel
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var got counter
			closed := make(chan struct{})
			s := orderServer(t, &got, func(_ http.ResponseWriter, q *http.Request) {
				_, _ = io.Copy(io.Discard, q.Body)
				<-q.Context().Done() // the client closed the connection
				close(closed)
			})
			ctx, cancel := c.with(testContext(t))
			defer cancel()
			if _, err := newEngine(t, s.URL, HTTPOptions{OrderLifetime: c.life}).Order(ctx, Order{ID: "o"}); !isBroken(err) {
				t.Errorf("error %v, want ErrBroken", err)
			}
			select {
			case <-closed:
			case <-time.After(testTimeout):
				t.Error("the connection was not closed")
			}
			if got.count("requests") != 1 {
				t.Errorf("server saw %v", got.counts)
			}
		})
	}
}

// An order whose deadline has passed must not be sent, and must return ErrNotRun.
func TestExpiredOrderIsNotSent(t *testing.T) {
	var got counter
	s := orderServer(t, &got, answerState)
	ctx := WithOrderDeadline(testContext(t), boottime.Now())
	if _, err := newEngine(t, s.URL, HTTPOptions{}).Order(ctx, Order{ID: "o"}); !isNotRun(err) {
		t.Errorf("error %v, want ErrNotRun", err)
	}
	if got.count("connections") != 0 {
		t.Errorf("server saw %v", got.counts)
	}
}

// A process that is paused between connecting and writing until after the deadline
// must not write the order when it continues.
func TestWriteAfterDeadlineIsRefused(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	received := make(chan int64)
	go func() {
		n, _ := io.Copy(io.Discard, b)
		received <- n
	}()
	e := NewHTTP("http://a", HTTPOptions{}).(*httpEngine)
	_ = a.SetDeadline(time.Now().Add(testTimeout))
	expired := &orderConn{Conn: a, deadline: boottime.Now()}
	if _, err := e.sendOrder(testContext(t), expired, Order{ID: "o"}); !isNotRun(err) || !errors.Is(err, errOrderExpired) {
		t.Errorf("error %v, want ErrNotRun", err)
	}
	a.Close()
	if n := <-received; n != 0 {
		t.Errorf("%d bytes were written", n)
	}
}

// The deadline of an order must be the earliest of OrderLifetime, the context's deadline and
// WithOrderDeadline. With a later one the order could be delivered too late.
func TestOrderDeadlineIsEarliest(t *testing.T) {
	now := boottime.Now()
	short, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if got := orderDeadline(short, now, time.Minute); got != now.Add(time.Minute) {
		t.Errorf("life: %v", got.Sub(now))
	}
	if got := orderDeadline(short, now, 2*time.Hour); got.Sub(now) > time.Hour {
		t.Errorf("deadline: %v", got.Sub(now))
	}
	if got := orderDeadline(WithOrderDeadline(short, now.Add(time.Second)), now, time.Minute); got != now.Add(time.Second) {
		t.Errorf("order deadline: %v", got.Sub(now))
	}
}

// Without these socket options the kernel could deliver an order's bytes after its
// deadline: TCP_USER_TIMEOUT ends a connection with unacknowledged bytes, and SO_LINGER 0
// makes closing the connection discard bytes that are not delivered yet.
func TestOrderSocketOptions(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	e := NewHTTP("http://"+l.Addr().String(), HTTPOptions{UserTimeout: time.Minute}).(*httpEngine)
	c, err := e.dialOrder(testContext(t), boottime.Now().Add(testTimeout), 700*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		if ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err != nil || ms != 700 {
			t.Errorf("TCP_USER_TIMEOUT is %d ms, error %v, want the order's 700", ms, err)
		}
		if g, err := unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER); err != nil || g.Onoff == 0 || g.Linger != 0 {
			t.Errorf("SO_LINGER is %+v, error %v, want on with 0", g, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Runs and orders must work over TLS. A failed handshake proves that the request was not
// sent, so both must return ErrNotRun. Both are tested because orders don't use
// http.Transport but do the handshake themselves.
func TestTLS(t *testing.T) {
	s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == PathOrders {
			answerState(w, q)
			return
		}
		w.Header().Set("Content-Type", ContentTypeStream)
		w.Header().Set(HeaderRunID, "r")
		fmt.Fprintf(w, tokenEvent+endEvent, 0, 1)
	}))
	defer s.Close()
	s.Config.ErrorLog = nil
	pool := x509.NewCertPool()
	pool.AddCert(s.Certificate())
	good := newEngine(t, s.URL, HTTPOptions{TLS: &tls.Config{RootCAs: pool}})
	readSingleTokenRun(t, good)
	if _, err := good.Order(testContext(t), Order{ID: "o"}); err != nil {
		t.Error(err)
	}
	bad := newEngine(t, s.URL, HTTPOptions{TLS: &tls.Config{RootCAs: x509.NewCertPool()}})
	if _, err := bad.Run(testContext(t), RunRequest{RunID: "r"}); !isNotRun(err) {
		t.Errorf("run at an untrusted server: %v, want ErrNotRun", err)
	}
	if _, err := bad.Order(testContext(t), Order{ID: "o"}); !isNotRun(err) {
		t.Errorf("order at an untrusted server: %v, want ErrNotRun", err)
	}
}

// TestOrderAnswerWithoutEndIsBounded guards against an engine that sends headers without end, all of which would be held
// in memory until the order's deadline.
func TestOrderAnswerWithoutEndIsBounded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	written := make(chan int, 1)
	go func() {
		n := 0
		defer func() { written <- n }()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\n")); err != nil {
			return
		}
		line := []byte("X-More: " + strings.Repeat("b", 4<<10) + "\r\n")
		for err == nil {
			var k int
			k, err = conn.Write(line)
			n += k
		}
	}()
	e := newEngine(t, "http://"+listener.Addr().String(), HTTPOptions{MaxBody: 64 << 10})
	if _, err := e.Order(testContext(t), Order{ID: "o"}); !errors.Is(err, ErrBroken) {
		t.Errorf("error %v, want ErrBroken", err)
	}
	const socketBuffers = 16 << 20 // bytes that may be written and not read
	if n := <-written; n > socketBuffers {
		t.Errorf("%d bytes of headers were taken", n)
	}
}
