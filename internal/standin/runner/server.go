package runner

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// relistenInterval is the pause between attempts of a restarting stand-in to listen on
// its port again.
const relistenInterval = 10 * time.Millisecond

// server is the HTTP server of a runner. It doesn't listen while the runner is down after a
// crash, so that connections are refused, as they are when a process has died.
type server struct {
	handler http.Handler
	address string

	mu      sync.Mutex
	http    *http.Server // replaced by a restart
	stopped bool
}

// Listen serves on host:port (port 0: any) until Close and returns the base URL.
func (r *Runner) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &server{handler: r.Handler(), address: l.Addr().String()}
	s.serve(l)
	r.mu.Lock()
	r.server = s
	r.mu.Unlock()
	return "http://" + s.address, nil
}

func (s *server) serve(l net.Listener) {
	h := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	s.http = h
	go func() {
		if err := h.Serve(l); err != http.ErrServerClosed {
			logline.Error(err, "stand-in stopped listening", "address", s.address)
		}
	}()
}

// restart closes the listener and all connections and listens again after down.
func (s *server) restart(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.http.Close()
	time.AfterFunc(down, s.relisten)
}

// relisten listens on the same port again, unless the server was stopped. It retries until the
// port is free.
func (s *server) relisten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		time.AfterFunc(relistenInterval, s.relisten)
		return
	}
	s.serve(l)
}

func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	_ = s.http.Close()
}
