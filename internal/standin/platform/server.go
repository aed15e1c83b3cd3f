package platform

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

const readHeaderTimeout = 10 * time.Second

// Server serves a store on one port: the object API and, under /admin/, the admin
// endpoints.
type Server struct {
	URL  string // base URL
	http *http.Server
	done sync.WaitGroup
}

// Listen serves the store on host:port until Close. Port 0 stands for any free port.
func (s *Store) Listen(address string) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/admin/", s.AdminHandler())
	mux.Handle("/", s.Handler())
	server := &Server{
		URL:  "http://" + l.Addr().String(),
		http: &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout},
	}
	server.done.Go(func() {
		if err := server.http.Serve(l); err != http.ErrServerClosed {
			logline.Error(err, "stand-in stopped listening", "address", server.URL)
		}
	})
	return server, nil
}

// Close stops listening and closes all connections. It waits until the server has ended.
func (s *Server) Close() {
	_ = s.http.Close()
	s.done.Wait()
}
