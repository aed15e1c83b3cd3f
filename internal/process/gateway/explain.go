package gateway

import (
	"fmt"
	"sync"
	"time"
)

// Limits on the memory that explanations use.
const (
	maxExplainedRequests = 2048
	maxExplainLines      = 16
	maxExplainLineBytes  = 400
)

// explainRing keeps the explanations of the latest requests. The oldest request is
// dropped first.
type explainRing struct {
	mu   sync.Mutex
	ids  []string // ring buffer of request IDs
	next int      // index in ids of the oldest request, which is replaced next
	byID map[string]*explanation
}

func newExplainRing() *explainRing {
	return &explainRing{ids: make([]string, maxExplainedRequests), byID: make(map[string]*explanation)}
}

// begin returns a new explanation for a request.
func (r *explainRing) begin(id string, now time.Time) *explanation {
	e := &explanation{began: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, r.ids[r.next])
	r.ids[r.next] = id
	r.next = (r.next + 1) % len(r.ids)
	r.byID[id] = e
	return e
}

// lines returns the explanation of a request, one line for each decision, or nil if the
// request is not known.
func (r *explainRing) lines(id string) []string {
	r.mu.Lock()
	e := r.byID[id]
	r.mu.Unlock()
	if e == nil {
		return nil
	}
	return e.all()
}

// explanation records the decisions about one request and their reasons.
type explanation struct {
	began   time.Time
	mu      sync.Mutex
	lines   []string
	dropped int // number of lines that exceeded maxExplainLines and were not kept
}

// add records one decision, prefixed with the time since the request's arrival.
func (e *explanation) add(now time.Time, format string, args ...any) {
	line := fmt.Sprintf("+%.1fms ", float64(now.Sub(e.began))/float64(time.Millisecond)) + fmt.Sprintf(format, args...)
	if len(line) > maxExplainLineBytes {
		line = line[:maxExplainLineBytes]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.lines) >= maxExplainLines {
		e.dropped++
		return
	}
	e.lines = append(e.lines, line)
}

// all returns the lines, and a last one with the number of dropped lines if there are any.
func (e *explanation) all() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := append([]string(nil), e.lines...)
	if e.dropped > 0 {
		out = append(out, fmt.Sprintf("%d further lines are not kept", e.dropped))
	}
	return out
}
