package caller

import "net/http"

// handler asks callers to close their connections while the server is leaving.
type handler struct {
	server *Server
	next   http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.server.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	h.next.ServeHTTP(w, r)
}
