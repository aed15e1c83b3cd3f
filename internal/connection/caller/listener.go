package caller

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxDrained is how many connections a listener that stops accepts at most, as new ones may arrive all the
	// time. It is the default length of the kernel's queue.
	maxDrained = 4096
	// acceptTimeout is the time to accept a connection that waits. It passes only if the process doesn't run,
	// and Accept is repeated then.
	acceptTimeout = 100 * time.Millisecond
)

// tcpListener is what Listener needs of a *net.TCPListener.
type tcpListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(time.Time) error
}

// Listener accepts the connections of callers.
type Listener struct {
	tcpListener

	mu      sync.Mutex
	tracker *tracker // of the server that accepts the connections
	guard   *Guard   // of that server; nil: none
	tls     bool     // that server uses TLS
	stopped bool
	drained int // connections accepted after Stop; used by Accept only
}

// Listen opens a TCP port for callers.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return NewListener(l)
}

// NewListener returns a Listener on an open TCP port, which it closes if it returns an error.
func NewListener(l net.Listener) (*Listener, error) {
	tcp, ok := l.(tcpListener)
	if !ok {
		l.Close()
		return nil, errors.Errorf("%s is no TCP port", l.Addr())
	}
	return &Listener{tcpListener: tcp, tracker: newTracker()}, nil
}

// setServer sets the tracker and the guard of the connections that are accepted from now on, and whether they use TLS.
func (l *Listener) setServer(t *tracker, g *Guard, tls bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker, l.guard, l.tls = t, g, tls
}

// Accept implements net.Listener. After Stop, it returns the connections that wait to be accepted, and then
// closes the port and returns net.ErrClosed. It closes connections for which the guard has no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if c != nil || err != nil {
			return c, err
		}
	}
}

// accept does the same for one connection. It returns neither a connection nor an error if there is no room for it.
func (l *Listener) accept() (net.Conn, error) {
	c, err := l.tcpListener.Accept()
	if err != nil && l.isStopped() {
		c, err = l.acceptPending()
	}
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(tcpConn)
	if !ok {
		c.Close()
		return nil, errors.Errorf("connection of type %T", c)
	}
	if accepted := l.track(tcp); accepted != nil {
		return accepted, nil
	}
	return nil, nil
}

// track returns the connection with what this package adds; nil: there is no room for it, and it was closed.
func (l *Listener) track(c tcpConn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted := newConn(c, l.tracker, l.tls)
	accepted.guard = l.guard
	if !l.guard.open(accepted) {
		_ = c.Close() // nothing was read from it
		return nil
	}
	l.tracker.add(accepted)
	return accepted
}

// acceptPending accepts a connection that waits. If there is none, it closes the port. The kernel resets the
// connections that wait when a port is closed.
func (l *Listener) acceptPending() (net.Conn, error) {
	for l.drained < maxDrained && pending(l.tcpListener) {
		if err := l.tcpListener.SetDeadline(time.Now().Add(acceptTimeout)); err != nil {
			break
		}
		c, err := l.tcpListener.Accept()
		if err == nil {
			l.drained++
			return c, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	l.tcpListener.Close()
	return nil, net.ErrClosed
}

// Stop ends accepting once no connection waits to be accepted.
func (l *Listener) Stop() {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	_ = l.tcpListener.SetDeadline(time.Now()) // wakes Accept; fails only if the port is closed
}

func (l *Listener) isStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}
