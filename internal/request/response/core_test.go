package response

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/ragworttrestle/ragworttrestle/internal/request/eventstream"
)

// lastEvent is the id of the last event of the tests' streams, which begin with 1.
const lastEvent = 3

// caller is what the caller of a test's request gets.
type caller struct {
	core   Core
	pieces []piece
}

// piece is a part of a response that was written to the caller.
type piece struct {
	send int    // number of the send that it is from
	text string // id of an event, or "body"
}

// outcome is one way in which a send can end. play reports to the core what the shell would, with the id of the last event
// that the caller has got, and returns whether the send completed the response.
type outcome struct {
	name  string
	final bool // no further send follows, whatever the route allows
	play  func(c *caller, after int) (completed bool)
}

// events has the last send bring the events with the given ids.
func (c *caller) events(ids ...int) bool {
	for _, n := range ids {
		switch c.core.Event(strconv.Itoa(n)) {
		case eventstream.Pass:
			c.pieces = append(c.pieces, piece{c.core.sends, strconv.Itoa(n)})
		case eventstream.Gap:
			return false
		}
	}
	return true
}

// rest returns the ids of the events from one to another, inclusive.
func rest(from, to int) (ids []int) {
	for n := from; n <= to; n++ {
		ids = append(ids, n)
	}
	return ids
}

// body has the last send bring a body in a number of parts; whole: up to its end.
func (c *caller) body(parts int, whole bool) bool {
	for range parts {
		if !c.core.Body() {
			return false
		}
		c.pieces = append(c.pieces, piece{c.core.sends, "body"})
	}
	return whole && c.core.BodyEnded()
}

// outcomes are all ways in which a send can end, as far as the core can tell them apart.
var outcomes = []outcome{
	{name: "whole stream", play: func(c *caller, after int) bool {
		return c.events(rest(after+1, lastEvent)...) && c.core.StreamEnded(true)
	}},
	{name: "stream that begins anew", play: func(c *caller, _ int) bool {
		return c.events(rest(1, lastEvent)...) && c.core.StreamEnded(true)
	}},
	{name: "stream that ends with its connection", play: func(c *caller, after int) bool {
		return c.events(rest(after+1, lastEvent)...) && c.core.StreamEnded(false)
	}},
	{name: "nothing, but the connection ends in order", play: func(c *caller, _ int) bool { return c.core.StreamEnded(false) }},
	{name: "whole body", play: func(c *caller, _ int) bool { return c.body(1, true) }},
	{name: "large body", play: func(c *caller, _ int) bool { return c.body(3, true) }},
	{name: "large body that breaks off", play: func(c *caller, _ int) bool { return c.body(2, false) }},
	{name: "server error", play: func(c *caller, _ int) bool { c.core.KeepServerError(); return false }},
	{name: "not run, reset, cut headers or a response to another request", play: func(*caller, int) bool { return false }},
	{name: "break after one event", play: func(c *caller, after int) bool {
		c.events(rest(after+1, min(after+1, lastEvent))...)
		return false
	}},
	{name: "break after the last event", play: func(c *caller, after int) bool {
		c.events(rest(after+1, lastEvent)...)
		return false
	}},
	{name: "gap", play: func(c *caller, after int) bool { return c.events(after+2) && c.core.StreamEnded(true) }},
	{name: "repeated events", play: func(c *caller, after int) bool {
		return c.events(1, 1, 1) && c.events(rest(max(after+1, 2), lastEvent)...) && c.core.StreamEnded(true)
	}},
	{name: "write fails", final: true, play: func(c *caller, after int) bool {
		c.events(rest(after+1, min(after+1, lastEvent))...)
		c.core.WriteFailed()
		return false
	}},
}

// TestResponseEndsAsLastSendDid plays all sequences of up to three sends with each reason for the end. It guards against a
// response that looks complete although the last send broke off, and against bytes of a send that follow those of
// another one.
func TestResponseEndsAsLastSendDid(t *testing.T) {
	var played int
	var play func(names []string, sends []outcome)
	play = func(names []string, sends []outcome) {
		for _, reason := range []Reason{NotServed, Interrupted, CallerLeft} {
			c, completed := playSends(sends)
			if completed {
				reason = Completed
			}
			checkEnding(t, fmt.Sprint(strings.Join(names, ", then "), ", reason ", reason), c, completed, reason)
			played++
		}
		if len(sends) == 3 {
			return
		}
		for _, o := range outcomes {
			play(append(slices.Clone(names), o.name), append(slices.Clone(sends), o))
		}
	}
	play(nil, nil)
	t.Logf("%d endings", played)
}

// playSends plays sends one after the other, as long as the response isn't complete and may be continued. It returns
// whether the last one completed the response.
func playSends(sends []outcome) (c *caller, completed bool) {
	c = &caller{}
	for i, o := range sends {
		if i > 0 && (sends[i-1].final || !c.core.CanContinue()) {
			break
		}
		after := 0
		if id, ok := c.core.LastEvent(); ok {
			after, _ = strconv.Atoi(id) // ids of the test are numbers
		}
		c.core.BeginSend()
		if o.play(c, after) {
			return c, true
		}
	}
	return c, false
}

// checkEnding checks how a response ends against what the caller has got.
func checkEnding(t *testing.T, name string, c *caller, completed bool, reason Reason) {
	t.Helper()
	ending := c.core.End(reason)
	if !isPrefixOfOneResponse(c.pieces) {
		t.Errorf("%s: the caller has %v", name, c.pieces)
	}
	switch ending {
	case EndWhole:
		if !completed || !isWhole(c.pieces) {
			t.Errorf("%s: ends as whole with %v", name, c.pieces)
		}
	case EndServerError:
		if len(c.pieces) > 0 || reason != NotServed {
			t.Errorf("%s: a server error follows %v", name, c.pieces)
		}
	case EndError:
		if len(c.pieces) > 0 || reason == CallerLeft {
			t.Errorf("%s: an error follows %v", name, c.pieces)
		}
	case EndAborted:
		if len(c.pieces) == 0 && reason != CallerLeft && !c.failed() {
			t.Errorf("%s: aborted without a status", name)
		}
	}
	if completed && ending != EndWhole {
		t.Errorf("%s: ends as %s with %v", name, ending, c.pieces)
	}
}

// failed reports whether a write to the caller failed.
func (c *caller) failed() bool { return c.core.progress == unwritable }

// isPrefixOfOneResponse reports whether the pieces are a body of one send, or events of one or several sends in order.
func isPrefixOfOneResponse(pieces []piece) bool {
	for i, p := range pieces {
		if p.text == "body" {
			if p.send != pieces[0].send {
				return false
			}
		} else if p.text != strconv.Itoa(i+1) && !startsAt(pieces, i) {
			return false
		}
	}
	return true
}

// startsAt reports whether the pieces up to i are events in order that begin with a later one than the first: the stream
// of an upstream may begin with any id.
func startsAt(pieces []piece, i int) bool {
	first, err := strconv.Atoi(pieces[0].text)
	return err == nil && pieces[i].text == strconv.Itoa(first+i)
}

// isWhole reports whether the pieces are a whole response.
func isWhole(pieces []piece) bool {
	if len(pieces) == 0 {
		return false
	}
	last := pieces[len(pieces)-1].text
	return last == "body" || last == strconv.Itoa(lastEvent) || pieces[0].text != "1"
}

// TestEmptyResponseIsWholeOnlyIfMarked guards against a part of a stream that looks whole, since a send that was to continue
// it ended with its connection before any event.
func TestEmptyResponseIsWholeOnlyIfMarked(t *testing.T) {
	for _, marked := range []bool{true, false} {
		c := &caller{}
		c.core.BeginSend()
		c.events(1, 2)
		c.core.BeginSend()
		if whole := c.core.StreamEnded(marked); whole != marked {
			t.Errorf("end marked: %t, whole: %t", marked, whole)
		}
	}
}

// TestResumedStreamGoesOnAfterCallersEvent guards against events that are missing or come twice in a stream that its caller
// resumes, and against a rest that counts as a failure because it is empty.
func TestResumedStreamGoesOnAfterCallersEvent(t *testing.T) {
	for _, tt := range []struct {
		after string
		ids   []int
		want  []eventstream.Verdict
		whole bool // if the end is marked
	}{
		{"2", []int{3}, []eventstream.Verdict{eventstream.Pass}, true},
		{"2", []int{1, 2, 3}, []eventstream.Verdict{eventstream.Skip, eventstream.Skip, eventstream.Pass}, true},
		{"2", []int{4}, []eventstream.Verdict{eventstream.Gap}, true},
		{"3", nil, nil, true},
		{"", nil, nil, false},
		{"x", []int{7}, []eventstream.Verdict{eventstream.Pass}, true},
	} {
		var c Core
		c.ResumeAfter(tt.after)
		c.BeginSend()
		for i, id := range tt.ids {
			if got := c.Event(strconv.Itoa(id)); got != tt.want[i] {
				t.Errorf("after %q: verdict %v on event %d, want %v", tt.after, got, id, tt.want[i])
			}
		}
		if whole := c.StreamEnded(true); whole != tt.whole {
			t.Errorf("after %q, events %v: whole: %t", tt.after, tt.ids, whole)
		}
	}
}

// TestServerErrorOfLatestSendIsKept guards against a server error of an earlier send whose status goes with the body of a
// later one.
func TestServerErrorOfLatestSendIsKept(t *testing.T) {
	var c Core
	for range 2 {
		c.BeginSend()
		if !c.KeepServerError() {
			t.Error("not kept")
		}
	}
	if ending := c.End(NotServed); ending != EndServerError {
		t.Errorf("ends as %s", ending)
	}
	if _, _, statusSend := c.Counts(); statusSend != 2 {
		t.Errorf("the status is that of send %d, want 2", statusSend)
	}
}
