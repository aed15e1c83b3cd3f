package runner

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// foreignRun is the run id that crossed tokens and answers carry.
const foreignRun = "another-run"

// sender writes one stream with the faults that strike it.
type sender struct {
	r    *Runner
	w    http.ResponseWriter
	out  *http.ResponseController
	u    *run
	left int  // tokens until a cut; negative: none
	odd  bool // faults may strike
}

// sendStream writes a run from a token on, until its end.
func (r *Runner) sendStream(w http.ResponseWriter, q *http.Request, u *run, from int) {
	s := &sender{r: r, w: w, out: http.NewResponseController(w), u: u, left: -1}
	gone := lifeOf(q)
	r.mu.Lock()
	if strikeLocked(&r.faults.CutStreams) {
		s.left = r.faults.CutAfterTokens
	}
	headed := u.id
	if strikeLocked(&r.faults.CrossAnswers) {
		headed = foreignRun
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", upstream.ContentTypeStream)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(upstream.HeaderRunID, headed)
	w.WriteHeader(http.StatusOK)
	_ = s.out.Flush()
	beat := time.NewTicker(r.config.Heartbeat)
	defer beat.Stop()
	for {
		r.waitThawed()
		r.mu.Lock()
		produced, over, reason, changed, end := u.produced, u.over, u.reason, u.wait(), u.end()
		same := gone == life(r.gone)
		s.odd = r.faults != Faults{}
		r.mu.Unlock()
		if !same || reason == reasonCut {
			panic(http.ErrAbortHandler)
		}
		for ; from < produced; from++ {
			s.token(from)
		}
		if over {
			s.end(end)
			return
		}
		_ = s.out.Flush()
		select {
		case <-changed:
		case <-gone:
			panic(http.ErrAbortHandler)
		case <-q.Context().Done():
			return
		case <-beat.C:
			_, _ = w.Write([]byte(": alive\n\n"))
		}
	}
}

// token writes one token with the faults that strike it.
func (s *sender) token(index int) {
	if s.left == 0 {
		_ = s.out.Flush()
		panic(http.ErrAbortHandler)
	}
	s.left--
	t := upstream.Token{RunID: s.u.id, Index: index, Text: s.u.gen.text(index)}
	f := &s.r.faults
	switch {
	case !s.odd:
	case s.r.strike(&f.DropTokens):
		return
	case s.r.strike(&f.CrossTokens):
		t = upstream.Token{RunID: foreignRun, Index: index, Text: "crossed "}
	case s.r.strike(&f.DuplicateTokens):
		s.write(upstream.WireItem{Token: &t})
	}
	s.write(upstream.WireItem{Token: &t})
}

func (s *sender) end(e *upstream.End) {
	if s.left == 0 {
		panic(http.ErrAbortHandler)
	}
	if s.r.strike(&s.r.faults.WrongEnds) {
		e.Tokens--
	}
	s.write(upstream.WireItem{End: e})
}

func (s *sender) write(item upstream.WireItem) {
	data, err := json.Marshal(item)
	if err != nil {
		panic(http.ErrAbortHandler) // cannot happen: plain fields only
	}
	_, _ = s.w.Write(append(append([]byte("data: "), data...), "\n\n"...))
}
