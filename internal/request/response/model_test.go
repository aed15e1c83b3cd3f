package response

import (
	"strings"
	"testing"

	"github.com/ragworttrestle/ragworttrestle/internal/request/eventstream"
)

// written is what a caller of the model got: all pieces, whichever send brought them. The model says from that list alone
// what a core has to answer; it shares no code with the core.
type written struct {
	pieces []writtenPiece
	send   int // number of the last send
	kept   int // send whose server error is kept; 0: none
	ended  bool
	failed bool // a write failed
	behind bool // the last event of the last send comes before one that the caller has
}

// writtenPiece is an event (id is its number; 0: the id is no number) or a part of a body.
type writtenPiece struct {
	send int
	body bool
	id   int
}

func (w *written) open() bool { return !w.ended && !w.failed }

// bodyOf reports whether the caller has a part of a body of a send.
func (w *written) bodyOf(send int) bool {
	return len(w.pieces) > 0 && w.pieces[0].body && w.pieces[0].send == send
}

// isStream reports whether the caller has events.
func (w *written) isStream() bool { return len(w.pieces) > 0 && !w.pieces[0].body }

// last returns the greatest number of an event that the caller has, and whether all ids are numbers.
func (w *written) last() (n int, numbers bool) {
	numbers = true
	for _, p := range w.pieces {
		n, numbers = max(n, p.id), numbers && p.id > 0
	}
	return n, numbers
}

// ofSend returns the number of pieces of the last send.
func (w *written) ofSend() (n int) {
	for _, p := range w.pieces {
		if p.send == w.send {
			n++
		}
	}
	return n
}

// event is the verdict on an event. id is its number; 0: the id is no number.
func (w *written) event(id int) eventstream.Verdict {
	last, numbers := w.last()
	w.behind = w.open() && w.isStream() && numbers && id > 0 && id < last
	switch {
	case !w.open() || len(w.pieces) > 0 && !w.isStream():
		return eventstream.Gap
	case id > 0 && last > 0 && id <= last:
		return eventstream.Skip
	case id > 0 && last > 0 && id > last+1:
		return eventstream.Gap
	}
	w.pieces = append(w.pieces, writtenPiece{send: w.send, id: id})
	return eventstream.Pass
}

func (w *written) streamEnded(marked bool) bool {
	whole := w.open() && w.isStream() && !w.behind && (marked || w.ofSend() > 0)
	w.ended = w.ended || whole
	return whole
}

func (w *written) body() bool {
	if !w.open() || len(w.pieces) > 0 && !w.bodyOf(w.send) {
		return false
	}
	w.pieces = append(w.pieces, writtenPiece{send: w.send, body: true})
	return true
}

func (w *written) bodyEnded() bool {
	whole := w.open() && w.bodyOf(w.send)
	w.ended = w.ended || whole
	return whole
}

func (w *written) keepServerError() bool {
	if !w.open() || len(w.pieces) > 0 {
		return false
	}
	w.kept = w.send
	return true
}

func (w *written) canContinue() bool {
	_, numbers := w.last()
	return w.open() && (len(w.pieces) == 0 || w.isStream() && numbers)
}

func (w *written) end(reason Reason) Ending {
	switch {
	case w.ended && !w.failed:
		return EndWhole
	case w.failed || len(w.pieces) > 0 || reason == CallerLeft:
		return EndAborted
	case w.kept > 0 && reason == NotServed:
		return EndServerError
	}
	return EndError
}

// operation is a call of the core. play makes it at both and reports whether they answer alike.
type operation struct {
	name string
	play func(c *Core, w *written) bool
}

func eventOperation(name, id string, n int) operation {
	return operation{name, func(c *Core, w *written) bool { return c.Event(id) == w.event(n) }}
}

var operations = []operation{
	{"begin", func(c *Core, w *written) bool { c.BeginSend(); w.send++; w.behind = false; return true }},
	eventOperation("event 1", "1", 1),
	eventOperation("event 2", "2", 2),
	eventOperation("event 4", "4", 4),
	eventOperation("event x", "x", 0),
	{"marked end", func(c *Core, w *written) bool { return c.StreamEnded(true) == w.streamEnded(true) }},
	{"unmarked end", func(c *Core, w *written) bool { return c.StreamEnded(false) == w.streamEnded(false) }},
	{"body", func(c *Core, w *written) bool { return c.Body() == w.body() }},
	{"end of body", func(c *Core, w *written) bool { return c.BodyEnded() == w.bodyEnded() }},
	{"server error", func(c *Core, w *written) bool { return c.KeepServerError() == w.keepServerError() }},
	{"failed write", func(c *Core, w *written) bool { c.WriteFailed(); w.failed = true; return true }},
}

// maxOperations is the length of the longest sequences of calls after the first send began.
const maxOperations = 6

// TestCoreAnswersAsWhatCallerGotSays plays all sequences of calls, sensible or not, against the model. It guards against a
// response whose end is decided from anything but what the caller has got and how the last send ended, in either
// direction: a part that ends as whole, and a whole response that is aborted.
func TestCoreAnswersAsWhatCallerGotSays(t *testing.T) {
	failures := 0
	var play func(names []string, c Core, w written)
	play = func(names []string, c Core, w written) {
		if failures > 10 {
			return
		}
		if problem := difference(c, w); problem != "" {
			failures++
			t.Errorf("%s: %s", strings.Join(names, ", "), problem)
			return
		}
		if len(names) > maxOperations {
			return
		}
		for _, o := range operations {
			nextCore, nextModel := c, w
			nextModel.pieces = append([]writtenPiece(nil), w.pieces...)
			next := append(names[:len(names):len(names)], o.name)
			if !o.play(&nextCore, &nextModel) {
				failures++
				t.Errorf("%s: the core answers otherwise than the model", strings.Join(next, ", "))
				continue
			}
			play(next, nextCore, nextModel)
		}
	}
	var c Core
	c.BeginSend()
	play([]string{"begin"}, c, written{send: 1})
}

// difference compares what a core and the model say about a response; empty: they agree.
func difference(c Core, w written) string {
	if started := w.failed || len(w.pieces) > 0; c.Started() != started {
		return "Started"
	}
	if c.CanContinue() != w.canContinue() {
		return "CanContinue"
	}
	if _, ok := c.LastEvent(); ok != (w.canContinue() && len(w.pieces) > 0) {
		return "LastEvent"
	}
	events, ofLastSend, statusSend := c.Counts()
	wantEvents, wantOfSend, wantStatus := 0, 0, 0
	if len(w.pieces) > 0 {
		wantStatus = w.pieces[0].send
	}
	if w.isStream() {
		wantEvents, wantOfSend = len(w.pieces), w.ofSend()
	}
	if events != wantEvents || ofLastSend != wantOfSend || statusSend != wantStatus {
		return "Counts"
	}
	for _, reason := range []Reason{Completed, NotServed, Interrupted, CallerLeft} {
		ended := c // End records the send of a server error
		if got := ended.End(reason); got != w.end(reason) {
			return "End: " + string(got) + ", want " + string(w.end(reason))
		}
		if _, _, send := ended.Counts(); w.end(reason) == EndServerError && send != w.kept {
			return "the status isn't that of the server error"
		}
	}
	return ""
}
