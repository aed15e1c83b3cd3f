package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// readAll reads events of at most 1 KiB until an error, and returns their ids and all their bytes.
func readAll(r io.Reader) (ids []string, raw string, err error) {
	events := NewReader(r, 1<<10)
	for {
		e, err := events.Next()
		if err != nil {
			return ids, raw, err
		}
		ids = append(ids, e.ID)
		raw += string(e.Raw)
	}
}

// TestReadEvents checks that the ids of events are found with each kind of line break and that no byte is changed,
// however the stream is split into reads.
func TestReadEvents(t *testing.T) {
	text := "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n"
	for name, r := range map[string]io.Reader{
		"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)),
	} {
		ids, raw, err := readAll(r)
		if err != io.EOF || raw != text || strings.Join(ids, ",") != "1,2," {
			t.Errorf("%s: ids %v, error %v, bytes %q", name, ids, err, raw)
		}
	}
}

// TestTruncatedEvent guards against passing on the part of an event that was received before the stream broke off.
func TestTruncatedEvent(t *testing.T) {
	for _, text := range []string{"id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\nid: 2\ndata: b\n"} {
		ids, raw, err := readAll(strings.NewReader(text))
		if err != io.ErrUnexpectedEOF || len(ids) != 1 || raw != "id: 1\ndata: a\n\n" {
			t.Errorf("%q: %v %q %v", text, ids, raw, err)
		}
	}
}

// TestCommentsAreNoEvents guards against comments and blank lines that count as events of a stream.
func TestCommentsAreNoEvents(t *testing.T) {
	events := NewReader(strings.NewReader(": here\n\nid: 1\n: within\n\n\r\n:\n: still\n\nevent: end\n\n"), 1<<10)
	for i, comment := range []bool{true, false, true, true, false} {
		if e, err := events.Next(); err != nil || e.Comment != comment {
			t.Errorf("block %d, %q: comment: %t, %v", i, e.Raw, e.Comment, err)
		}
	}
}

// TestReadErrorIsReturned guards against taking a read error for the regular end of a stream.
func TestReadErrorIsReturned(t *testing.T) {
	cause := errors.New("reset")
	_, _, err := readAll(io.MultiReader(strings.NewReader("id: 1\n\n"), iotest.ErrReader(cause)))
	if !errors.Is(err, cause) {
		t.Errorf("got %v", err)
	}
}

// TestTooLongEvent guards against unbounded memory for an event that doesn't end.
func TestTooLongEvent(t *testing.T) {
	if _, _, err := readAll(strings.NewReader("data: " + strings.Repeat("x", 2<<10) + "\n\n")); !errors.Is(err, ErrTooLong) {
		t.Errorf("got %v", err)
	}
}

// TestSequence checks that events are passed on once and in order, when a continued stream repeats events or lacks
// some, and that an answer with an id that is not a number can't be continued.
func TestSequence(t *testing.T) {
	var s Sequence
	if _, ok := s.Last(); ok || s.Started() {
		t.Error("started before any event was passed on")
	}
	steps := []struct {
		id   string
		want Verdict
	}{{"5", Pass}, {"6", Pass}, {"6", Skip}, {"5", Skip}, {"8", Gap}, {"7", Pass}, {"8", Pass}}
	for _, step := range steps {
		if got := s.Check(step.id); got != step.want {
			t.Errorf("event %s: %v, want %v", step.id, got, step.want)
		}
	}
	if last, ok := s.Last(); !ok || last != "8" {
		t.Errorf("last %q %v", last, ok)
	}
	if s.Check("x") != Pass {
		t.Error("an event without a number doesn't pass")
	}
	if _, ok := s.Last(); ok {
		t.Error("an answer without numbers can be continued")
	}
}
