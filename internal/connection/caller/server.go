package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// nextRequestTimeout is how long an idle connection stays open for a last request when the server shuts
	// down. The caller may have sent one before it can know of the shutdown.
	nextRequestTimeout = 200 * time.Millisecond
	// firstRequestTimeout is the time for the first request on a new connection when the server shuts down.
	firstRequestTimeout = time.Second
	// shutdownCheckInterval is how often Shutdown checks whether all connections are closed.
	shutdownCheckInterval = 5 * time.Millisecond
)

// Server serves HTTP/1.1 to callers on one port.
type Server struct {
	http        *http.Server
	tracker     *tracker
	guard       *Guard                   // nil: what its connections hold isn't bounded
	listener    atomic.Pointer[Listener] // nil: Serve wasn't called yet
	served      chan struct{}            // closed when Serve returns
	leaving     atomic.Bool              // callers are asked to close their connections
	closingIdle atomic.Bool              // idle connections are closed
	stopping    atomic.Bool              // Shutdown was called
}

// NewServer returns a server with the handler, timeouts and limits of settings, which mustn't be used
// otherwise. Their ConnContext gets the TCP connection. guard bounds what its connections hold; nil: nothing does.
func NewServer(settings *http.Server, guard *Guard) *Server {
	s := &Server{http: settings, tracker: newTracker(), guard: guard, served: make(chan struct{})}
	settings.Handler = &handler{server: s, next: settings.Handler}
	connContext := settings.ConnContext
	settings.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		own := callerConn(c)
		if connContext != nil && own != nil {
			ctx = connContext(ctx, own.tcpConn)
		}
		return context.WithValue(ctx, connKey{}, own)
	}
	settings.ConnState = s.connStateChanged
	return s
}

// Serve serves the connections of l until Shutdown or Close, after which it returns nil, or until l fails.
// tlsConfig is nil for plain TCP. Serve must be called once.
func (s *Server) Serve(l *Listener, tlsConfig *tls.Config) error {
	defer close(s.served)
	l.setServer(s.tracker, s.guard, tlsConfig != nil)
	s.listener.Store(l)
	var serving net.Listener = l
	if tlsConfig != nil {
		serving = tls.NewListener(l, tlsConfig)
	}
	if s.stopping.Load() {
		l.Stop() // Shutdown didn't know the listener
	}
	err := s.http.Serve(serving)
	if s.stopping.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// AskToClose makes all answers from now on ask their callers to close the connection.
func (s *Server) AskToClose() { s.leaving.Store(true) }

// CloseIdle closes idle connections from now on. They stay open for a moment, because their callers may have
// sent a request.
func (s *Server) CloseIdle() {
	s.closingIdle.Store(true)
	for _, c := range s.tracker.open() {
		c.closeUnlessUsed(time.Now())
	}
}

// Shutdown closes the port after it has accepted the connections that wait for that. It waits until all
// requests are answered and all connections are closed. Idle connections stay open for a moment, because
// their callers may have sent a request. If ctx ends first, Shutdown returns its error and closes nothing.
func (s *Server) Shutdown(ctx context.Context) error {
	s.AskToClose()
	s.stopping.Store(true)
	if l := s.listener.Load(); l != nil {
		l.Stop()
		select {
		case <-s.served:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.CloseIdle()
	check := time.NewTicker(shutdownCheckInterval)
	defer check.Stop()
	for s.tracker.count() > 0 {
		select {
		case <-check.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Close closes the port and all connections at once.
func (s *Server) Close() {
	s.stopping.Store(true)
	_ = s.http.Close() // errors of listeners that are closed already
	s.tracker.closeAll()
}

// connStateChanged is the ConnState hook of net/http.
func (s *Server) connStateChanged(c net.Conn, state http.ConnState) {
	conn := callerConn(c)
	if conn == nil {
		return
	}
	switch state {
	case http.StateActive:
		conn.requestBegan()
	case http.StateHijacked:
		conn.hijacked()
	case http.StateIdle:
		conn.waitForRequest()
		if s.closingIdle.Load() {
			conn.closeUnlessUsed(time.Now())
		}
	}
}

// connKey is the key of a request's *conn in its context.
type connKey struct{}

// callerConn returns the connection below c, which may be a TLS connection; nil: it is none of a Listener.
func callerConn(c net.Conn) *conn {
	if over, ok := c.(*tls.Conn); ok {
		c = over.NetConn()
	}
	found, _ := c.(*conn)
	return found
}
