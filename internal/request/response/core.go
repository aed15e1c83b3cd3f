// Package response decides what a caller gets of the responses of upstreams to the sends of one request. Core keeps what
// the caller has got, and is the only place that decides how the response ends: as whole, with a server error of an
// upstream, with an error of this process, or aborted. It does no I/O and reads no clock: the shell reports what happened
// and carries out what Core returns.
package response

import "github.com/ragworttrestle/ragworttrestle/internal/request/eventstream"

// progress is what the caller has got.
type progress int

const (
	nothing    progress = iota // no byte
	someEvents                 // status, headers and events of a stream, the last one complete
	someBytes                  // status, headers and a part of another body
	whole                      // everything up to the end of the body
	unwritable                 // unknown, as a write to the caller failed
)

// Reason says why a request ends.
type Reason int

// The reasons.
const (
	Completed   Reason = iota // the last send is thought to have completed the response
	NotServed                 // the last send failed or there was none, and no other may follow
	Interrupted               // the deadline passed, or this process stops
	CallerLeft                // nobody reads a response
)

// Ending is how the shell ends a response.
type Ending string

// The endings.
const (
	EndWhole       Ending = "whole"        // nothing is missing: the body ends in order
	EndServerError Ending = "server-error" // the kept server error is written, from its status to the end of its body
	EndError       Ending = "error"        // an error of this process is written
	EndAborted     Ending = "aborted"      // the connection is ended so that the caller sees that the response is incomplete
)

// Core keeps what the caller of one request has got. The zero value is that of a request without a send.
type Core struct {
	progress    progress
	sequence    eventstream.Sequence // of the events of all sends
	resumed     bool                 // the caller has earlier events of the stream, from an attempt before
	sends       int                  // number of sends so far
	events      int                  // events that the caller has got
	sendEvents  int                  // events that the caller has got of the last send
	behind      bool                 // the last event of the last send comes before one that the caller has
	statusSend  int                  // number of the send whose status the caller has got; 0: none
	serverError int                  // number of the send whose server error is kept; 0: none is
}

// ResumeAfter records that the caller resumes a stream after the event with an id. An id that isn't a number says nothing
// about the order of events, and is ignored.
func (c *Core) ResumeAfter(id string) { c.resumed = c.sequence.StartAfter(id) }

// BeginSend records that the request is sent to an upstream, once more or for the first time.
func (c *Core) BeginSend() {
	c.sends++
	c.sendEvents, c.behind = 0, false
}

// Event returns whether an event of the last send's stream is written to the caller. After a part of another body, or the
// end of the response, no event fits.
func (c *Core) Event(id string) eventstream.Verdict {
	if c.progress != nothing && c.progress != someEvents {
		return eventstream.Gap
	}
	verdict := c.sequence.Check(id)
	last, ok := c.sequence.Last()
	c.behind = verdict == eventstream.Skip && ok && id != last
	if verdict == eventstream.Pass {
		c.begin(someEvents)
		c.events++
		c.sendEvents++
	}
	return verdict
}

// StreamEnded records that the last send's stream ended in order, and reports whether the caller has the whole response: a
// stream has at least one event. marked says that the upstream marked the end, by a length or in chunks. A stream that
// ends with its connection is whole as far as anybody can tell if it brought an event that was missing; if it brought
// none, it may just as well have been broken off. The rest of a stream that the caller resumes may be empty. A stream that
// began anew and ended before an event that the caller has isn't the same.
func (c *Core) StreamEnded(marked bool) bool {
	begun := c.progress == someEvents || (c.progress == nothing && c.resumed)
	if !begun || c.behind || (!marked && c.sendEvents == 0) {
		return false
	}
	c.begin(someEvents)
	c.progress = whole
	return true
}

// Body reports whether a part of a body that is no stream may be written to the caller: the first part only if the caller
// has got nothing, further parts of the same send after it.
func (c *Core) Body() bool {
	if c.progress == nothing {
		c.begin(someBytes)
		return true
	}
	return c.progress == someBytes && c.statusSend == c.sends
}

// BodyEnded records that all parts of a body were written, and reports whether the caller has the whole response.
func (c *Core) BodyEnded() bool {
	if c.progress != someBytes || c.statusSend != c.sends {
		return false
	}
	c.progress = whole
	return true
}

// KeepServerError records that the last send ended with a complete server error, and reports whether it is kept: it can be
// the response only of a caller who has got nothing.
func (c *Core) KeepServerError() bool {
	if c.progress != nothing {
		return false
	}
	c.serverError = c.sends
	return true
}

// WriteFailed records that a write to the caller failed.
func (c *Core) WriteFailed() { c.progress = unwritable }

// Started reports whether the caller may have got a part of the response.
func (c *Core) Started() bool { return c.progress != nothing }

// CanContinue reports whether a further send could continue the response: the caller has got nothing, or events with
// numbers as ids.
func (c *Core) CanContinue() bool {
	if c.progress == someEvents {
		_, ok := c.sequence.Last()
		return ok
	}
	return c.progress == nothing
}

// LastEvent returns the id of the last event that the caller has got. ok is false if no upstream can continue after it.
func (c *Core) LastEvent() (id string, ok bool) {
	if c.progress != someEvents {
		return "", false
	}
	return c.sequence.Last()
}

// End returns how the response ends. Bytes of one send's response never follow those of another one's, except events that
// continue a stream, and what is incomplete is aborted.
func (c *Core) End(reason Reason) Ending {
	switch {
	case c.progress == whole:
		return EndWhole
	case c.progress != nothing || reason == CallerLeft:
		return EndAborted
	case reason == NotServed && c.serverError > 0:
		c.statusSend = c.serverError
		return EndServerError
	}
	return EndError
}

// Counts returns the number of events that the caller has got, and of those of the last send, and the number of the send
// whose status the caller has got; 0: none.
func (c *Core) Counts() (events, ofLastSend, statusSend int) {
	return c.events, c.sendEvents, c.statusSend
}

// begin records that the caller gets the first or a further part of the response.
func (c *Core) begin(p progress) {
	if c.progress == nothing {
		c.statusSend = c.sends
	}
	c.progress = p
}
