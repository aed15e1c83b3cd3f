// Package eventstream splits a stream of server-sent events into complete events, so
// that partial events are never passed on. It also checks the order of the events by
// their ids, since another upstream may continue a stream that broke off. It opens no
// connections.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// Event is one complete event as received, including the blank line that ends it.
type Event struct {
	Raw     []byte // valid until the next call of Next
	ID      string // value of its id field; empty: none
	Comment bool   // it has no field: comments, or a further blank line, which keep a connection open and say nothing
}

// Reader reads events. It is not safe for concurrent use.
type Reader struct {
	lines   *bufio.Reader
	maxSize int    // of an event, in bytes
	buf     []byte // the event that is being read or was returned last
}

const readBuffer = 4 << 10 // bytes; most events take some hundred bytes

// ErrTooLong is the cause of the error of Reader.Next if an event is longer than the
// reader's maximum.
var ErrTooLong = errors.New("event is too long")

// NewReader returns a reader of events of at most maxSize bytes.
func NewReader(r io.Reader, maxSize int) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, readBuffer), maxSize: maxSize}
}

// Next returns the next event. It returns io.EOF at the end of a stream that ends with a
// complete event, io.ErrUnexpectedEOF if the stream ends within an event, an error that
// wraps ErrTooLong if the event exceeds the maximum size, or else the error of the
// underlying reader.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	id, comment := "", true
	for {
		start := len(r.buf)
		if err := r.readLine(); err != nil {
			if err == io.EOF && len(r.buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.buf[start:], "\r\n")
		if len(line) == 0 {
			return Event{Raw: r.buf, ID: id, Comment: comment}, nil
		}
		comment = comment && line[0] == ':'
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// readLine appends one line, with its line break, to the buffer.
func (r *Reader) readLine() error {
	for {
		chunk, err := r.lines.ReadSlice('\n')
		r.buf = append(r.buf, chunk...)
		if len(r.buf) > r.maxSize {
			return errors.Wrapf(ErrTooLong, "over %d bytes", r.maxSize)
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// Verdict says whether an event is to be passed on.
type Verdict int

// The verdicts.
const (
	Pass Verdict = iota // it is the next event of the answer
	Skip                // an event with this or a later id has passed already
	Gap                 // at least one event before it is missing
)

// Sequence checks that the event ids of one answer increase by one from event to event,
// also when another upstream continues the answer. The zero value is ready to use.
type Sequence struct {
	last      int64 // id of the last event that passed
	started   bool  // an event with a number as id has passed
	unordered bool  // an id is not a number, so the order can't be checked
}

// StartAfter makes the answer go on after the event with an id, which its receiver has. ok is false if the id isn't a
// number: the answer may then begin with any event.
func (s *Sequence) StartAfter(id string) (ok bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	s.started, s.last = true, n
	return true
}

// Check returns the verdict on an event by its id. The first event may have any id. An event
// whose id is not a number passes, but the answer can't be continued elsewhere after it.
func (s *Sequence) Check(id string) Verdict {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		s.unordered = true
		return Pass
	}
	switch {
	case !s.started:
		s.started, s.last = true, n
		return Pass
	case n <= s.last:
		return Skip
	case n > s.last+1:
		return Gap
	}
	s.last = n
	return Pass
}

// Last returns the id of the last event that was passed on. ok is false if the answer can't
// be continued elsewhere: no event was passed on, or an id is not a number.
func (s *Sequence) Last() (id string, ok bool) {
	if !s.started || s.unordered {
		return "", false
	}
	return strconv.FormatInt(s.last, 10), true
}

// Started reports whether an event was passed on.
func (s *Sequence) Started() bool { return s.started || s.unordered }
