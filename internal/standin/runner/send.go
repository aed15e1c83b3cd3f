package runner

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// otherRunID is the run id that the faults ForeignTokens and ForeignRunIDs send instead of the right one.
const otherRunID = "another-run"

// streamWriter writes one stream and injects faults.
type streamWriter struct {
	r              *Runner
	w              http.ResponseWriter
	controller     *http.ResponseController
	u              *run
	tokensUntilCut int  // tokens to send before the stream is cut; negative: it isn't
	faultsActive   bool // any fault is injected; saves checking each of them for every token
}

// sendStream streams a run from token index from on, until the run ends. Between tokens it sends a comment at
// intervals of Config.Heartbeat.
func (r *Runner) sendStream(w http.ResponseWriter, q *http.Request, u *run, from int) {
	s := &streamWriter{r: r, w: w, controller: http.NewResponseController(w), u: u, tokensUntilCut: -1}
	received := incarnationOf(q)
	r.mu.Lock()
	if triggerFaultLocked(&r.faults.CutStreams) {
		s.tokensUntilCut = r.faults.CutAfterTokens
	}
	headerRunID := u.id
	if triggerFaultLocked(&r.faults.ForeignRunIDs) {
		headerRunID = otherRunID
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", upstream.ContentTypeStream)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(upstream.HeaderRunID, headerRunID)
	w.WriteHeader(http.StatusOK)
	_ = s.controller.Flush()
	heartbeat := time.NewTicker(r.config.Heartbeat)
	defer heartbeat.Stop()
	for {
		r.waitThawed()
		r.mu.Lock()
		produced, finished, reason, changed, end := u.produced, u.finished, u.reason, u.nextChange(), u.endItem()
		same := received == incarnation(r.incarnationDone)
		s.faultsActive = r.faults != Faults{}
		r.mu.Unlock()
		if !same || reason == reasonCut {
			panic(http.ErrAbortHandler)
		}
		for ; from < produced; from++ {
			s.writeToken(from)
		}
		if finished {
			s.writeEnd(end)
			return
		}
		_ = s.controller.Flush()
		select {
		case <-changed:
		case <-received:
			panic(http.ErrAbortHandler)
		case <-q.Context().Done():
			return
		case <-heartbeat.C:
			_, _ = w.Write([]byte(": alive\n\n"))
		}
	}
}

// writeToken writes one token and injects faults.
func (s *streamWriter) writeToken(index int) {
	if s.tokensUntilCut == 0 {
		_ = s.controller.Flush()
		panic(http.ErrAbortHandler)
	}
	s.tokensUntilCut--
	t := upstream.Token{RunID: s.u.id, Index: index, Text: s.u.gen.token(index)}
	f := &s.r.faults
	switch {
	case !s.faultsActive:
	case s.r.triggerFault(&f.DropTokens):
		return
	case s.r.triggerFault(&f.ForeignTokens):
		t = upstream.Token{RunID: otherRunID, Index: index, Text: "crossed "}
	case s.r.triggerFault(&f.DuplicateTokens):
		s.writeItem(upstream.WireItem{Token: &t})
	}
	s.writeItem(upstream.WireItem{Token: &t})
}

// writeEnd writes the last item of a stream and injects faults.
func (s *streamWriter) writeEnd(e *upstream.End) {
	if s.tokensUntilCut == 0 {
		panic(http.ErrAbortHandler)
	}
	if s.r.triggerFault(&s.r.faults.WrongEnds) {
		e.Tokens--
	}
	s.writeItem(upstream.WireItem{End: e})
}

func (s *streamWriter) writeItem(item upstream.WireItem) {
	data, err := json.Marshal(item)
	if err != nil {
		panic(http.ErrAbortHandler) // unreachable: the fields always marshal
	}
	_, _ = s.w.Write(append(append([]byte("data: "), data...), "\n\n"...))
}
