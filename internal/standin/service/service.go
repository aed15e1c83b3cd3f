// Package service is a stand-in for a plain service. It serves every path and counts
// calls by a marker that the caller sends. Injected faults delay a response, cut it in the
// middle, change its status, or drop the connection before or after the call is counted.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// Headers of a request.
const (
	// HeaderMark holds the marker under which the call is counted; see Service.Calls.
	HeaderMark = "Standin-Mark"
	// HeaderSize asks for a response body of this many bytes instead of an echo.
	HeaderSize = "Standin-Size"
)

// HeaderServedBy is a response header that holds the upstream's name.
const HeaderServedBy = "Standin-Served-By"

// headerIdempotencyKey holds the key by which calls are deduplicated if
// Config.Deduplicates is set.
const headerIdempotencyKey = "Idempotency-Key"

const (
	maxRequestBytes  = 16 << 20 // maximum size of a request body
	maxResponseBytes = 64 << 20 // maximum size that HeaderSize may ask for; a larger value is ignored
	chunkBytes       = 4 << 10  // size of the chunks in which a body is written
)

// Config configures one stand-in.
type Config struct {
	Name         string
	Deduplicates bool // a call with a known Idempotency-Key gets the stored response and is not counted
}

// Faults configures fault injection. A counter decreases each time its fault occurs.
type Faults struct {
	DelayMS           int `json:"delay_ms"`       // delay of each response
	TruncateResponses int `json:"cut_answers"`    // the next N responses are cut in the middle
	LoseResponses     int `json:"lose_answers"`   // the next N calls are counted, then the connection is dropped
	DropUncounted     int `json:"drop_uncounted"` // the connections of the next N calls are dropped after the request was read; the calls aren't counted
	Status            int `json:"status"`         // response status instead of 200; 0: 200
	ChunkDelayMS      int `json:"chunk_delay_ms"` // delay after each chunk of a body
}

// Service is a stand-in for one upstream of a plain service. Create it with New.
type Service struct {
	config Config
	server *http.Server

	mu        sync.Mutex
	faults    Faults
	calls     map[string]int      // by marker
	responses map[string]response // by Idempotency-Key, if Config.Deduplicates
	total     int                 // calls with or without a marker
}

// response is the response to a call.
type response struct {
	status int
	body   []byte
}

// New returns a stand-in that does not listen yet.
func New(c Config) *Service {
	return &Service{config: c, calls: map[string]int{}, responses: map[string]response{}}
}

// Calls returns the number of executed calls by marker.
func (s *Service) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// Total returns the number of executed calls, with or without a marker.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults with the remaining counts.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// triggerFault reports whether a fault occurs now, and if so decrements its counter in
// s.faults.
func (s *Service) triggerFault(counter *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

// Handler serves every path, and the admin endpoints under /admin/.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT /admin/faults", s.serveSetFaults)
	return mux
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails if the client has gone
}

func (s *Service) serveSetFaults(w http.ResponseWriter, q *http.Request) {
	var f Faults
	d := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// serve handles one call and injects faults. A body over maxRequestBytes gets status 400.
func (s *Service) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.triggerFault(&s.faults.DropUncounted) {
		panic(http.ErrAbortHandler)
	}
	res := s.handleCall(q, body)
	if s.triggerFault(&s.faults.LoseResponses) {
		panic(http.ErrAbortHandler)
	}
	f := s.Faults()
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	w.Header().Set(HeaderServedBy, s.config.Name)
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(res.status)
	s.writeBody(w, res.body, time.Duration(f.ChunkDelayMS)*time.Millisecond)
}

// handleCall counts a call and returns its response, or returns the stored response of
// an earlier call with the same key.
func (s *Service) handleCall(q *http.Request, body []byte) response {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := q.Header.Get(headerIdempotencyKey)
	if old, ok := s.responses[key]; ok && key != "" && s.config.Deduplicates {
		return old
	}
	s.total++
	if mark := q.Header.Get(HeaderMark); mark != "" {
		s.calls[mark]++
	}
	res := response{status: http.StatusOK, body: responseBody(q, body)}
	if s.faults.Status != 0 {
		res.status = s.faults.Status
	}
	if key != "" && s.config.Deduplicates {
		s.responses[key] = res
	}
	return res
}

// responseBody returns a body of the size that HeaderSize asks for. Without a valid size it returns the
// call's method, URL and body.
func responseBody(q *http.Request, body []byte) []byte {
	size, err := strconv.Atoi(q.Header.Get(HeaderSize))
	if err == nil && size >= 0 && size <= maxResponseBytes {
		return []byte(strings.Repeat("x", size))
	}
	return []byte(q.Method + " " + q.URL.RequestURI() + "\n" + string(body))
}

// writeBody writes the body in chunks, with a delay after each of them. To inject the fault
// TruncateResponses, it writes half of the body and closes the connection.
func (s *Service) writeBody(w http.ResponseWriter, body []byte, delay time.Duration) {
	cut := s.triggerFault(&s.faults.TruncateResponses)
	if cut {
		w.Header().Del("Content-Length")
		body = body[:len(body)/2]
	}
	controller := http.NewResponseController(w)
	for len(body) > 0 {
		n := min(chunkBytes, len(body))
		if _, err := w.Write(body[:n]); err != nil {
			return
		}
		body = body[n:]
		if delay > 0 || cut {
			_ = controller.Flush()
			time.Sleep(delay)
		}
	}
	if cut {
		panic(http.ErrAbortHandler)
	}
}

// Listen serves on host:port until Close, and returns the base URL. Port 0 stands for any free port.
func (s *Service) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.server = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() {
		if err := s.server.Serve(l); err != http.ErrServerClosed {
			logline.Error(err, "stand-in stopped listening", "address", address)
		}
	}()
	return "http://" + l.Addr().String(), nil
}

// Close stops listening and closes open connections.
func (s *Service) Close() {
	if s.server != nil {
		_ = s.server.Close()
	}
}
