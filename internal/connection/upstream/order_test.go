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
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// orderServer answers orders and counts connections and requests.
func orderServer(t *testing.T, got *seen, h http.HandlerFunc) *httptest.Server {
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

func answerState(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprint(w, `{"runner":"a","order_id":"o"}`)
}

func TestEachOrderHasItsOwnConnection(t *testing.T) {
	var got seen
	s := orderServer(t, &got, answerState)
	e := engineAt(t, s.URL, HTTPOptions{Name: "a"})
	for range 3 {
		if _, err := e.State(timeout(t)); err != nil { // leaves an idle connection
			t.Fatal(err)
		}
		if st, err := e.Order(timeout(t), Order{ID: "o"}); err != nil || st.OrderID != "o" {
			t.Fatalf("state %+v, error %v", st, err)
		}
	}
	if got.count("connections") != 4 || got.count("requests") != 6 {
		t.Errorf("server saw %v, want 1 connection for states and 3 for orders", got.counts)
	}
}

func TestOrderEndsAtItsInstant(t *testing.T) {
	for name, c := range map[string]struct {
		life time.Duration
		with func(context.Context) (context.Context, context.CancelFunc)
	}{
		"order life": {30 * time.Millisecond, context.WithCancel},
		"context": {wait, func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 30*time.Millisecond)
		}},
		"instant": {wait, func(ctx context.Context) (context.Context, context.CancelFunc) {
			return OrderUntil(ctx, boottime.Now().Add(30*time.Millisecond)), func() {}
		}},
		"canceled": {wait, func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(30*time.Millisecond, cancel)
			return ctx, cancel
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var got seen
			cut := make(chan struct{})
			s := orderServer(t, &got, func(_ http.ResponseWriter, q *http.Request) {
				_, _ = io.Copy(io.Discard, q.Body)
				<-q.Context().Done() // the connection is gone
				close(cut)
			})
			ctx, cancel := c.with(timeout(t))
			defer cancel()
			if _, err := engineAt(t, s.URL, HTTPOptions{OrderLife: c.life}).Order(ctx, Order{ID: "o"}); !isBroken(err) {
				t.Errorf("gave %v, want ErrBroken", err)
			}
			select {
			case <-cut:
			case <-time.After(wait):
				t.Error("the server's connection was not cut")
			}
			if got.count("requests") != 1 {
				t.Errorf("server saw %v", got.counts)
			}
		})
	}
}

// An order whose instant has passed is not sent, and says so.
func TestLateOrderIsNotSent(t *testing.T) {
	var got seen
	s := orderServer(t, &got, answerState)
	ctx := OrderUntil(timeout(t), boottime.Now())
	if _, err := engineAt(t, s.URL, HTTPOptions{}).Order(ctx, Order{ID: "o"}); !isNotRun(err) {
		t.Errorf("gave %v, want ErrNotRun", err)
	}
	if got.count("connections") != 0 {
		t.Errorf("server saw %v", got.counts)
	}
}

// A process that was paused after it connected finds out before its next byte.
func TestLateWriteIsRefused(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	received := make(chan int64)
	go func() {
		n, _ := io.Copy(io.Discard, b)
		received <- n
	}()
	e := NewHTTP("http://a", HTTPOptions{}).(*httpEngine)
	_ = a.SetDeadline(time.Now().Add(wait))
	late := &orderConn{Conn: a, until: boottime.Now()}
	if _, err := e.sendOrder(timeout(t), late, Order{ID: "o"}); !isNotRun(err) || !errors.Is(err, errOrderLate) {
		t.Errorf("gave %v, want ErrNotRun", err)
	}
	a.Close()
	if n := <-received; n != 0 {
		t.Errorf("%d bytes were written", n)
	}
}

func TestOrderUntilTakesTheEarliest(t *testing.T) {
	now := boottime.Now()
	short, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if got := orderUntil(short, now, time.Minute); got != now.Add(time.Minute) {
		t.Errorf("life: %v", got.Sub(now))
	}
	if got := orderUntil(short, now, 2*time.Hour); got.Sub(now) > time.Hour {
		t.Errorf("deadline: %v", got.Sub(now))
	}
	if got := orderUntil(OrderUntil(short, now.Add(time.Second)), now, time.Minute); got != now.Add(time.Second) {
		t.Errorf("instant: %v", got.Sub(now))
	}
}

// The kernel is told how long an order's bytes may stay unacknowledged, and to
// discard them when the connection is closed.
func TestOrderSocketOptions(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	e := NewHTTP("http://"+l.Addr().String(), HTTPOptions{UserTimeout: time.Minute}).(*httpEngine)
	c, err := e.dialOrder(timeout(t), boottime.Now().Add(wait), 700*time.Millisecond)
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
	good := engineAt(t, s.URL, HTTPOptions{TLS: &tls.Config{RootCAs: pool}})
	readOne(t, good)
	if _, err := good.Order(timeout(t), Order{ID: "o"}); err != nil {
		t.Error(err)
	}
	bad := engineAt(t, s.URL, HTTPOptions{TLS: &tls.Config{RootCAs: x509.NewCertPool()}})
	if _, err := bad.Run(timeout(t), RunRequest{RunID: "r"}); !isNotRun(err) {
		t.Errorf("run at an untrusted server gave %v, want ErrNotRun", err)
	}
	if _, err := bad.Order(timeout(t), Order{ID: "o"}); !isNotRun(err) {
		t.Errorf("order at an untrusted server gave %v, want ErrNotRun", err)
	}
}
