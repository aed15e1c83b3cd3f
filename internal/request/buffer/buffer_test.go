package buffer

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// booking counts what was booked, up to a limit.
type booking struct{ booked, limit int64 }

func (b *booking) book(n int64) bool {
	if b.booked+n > b.limit {
		return false
	}
	b.booked += n
	return true
}

// TestRead checks that a body of any length, announced or not, is read as it was sent, and that no more is held than
// was booked.
func TestRead(t *testing.T) {
	for _, size := range []int{0, 1, minPiece - 1, minPiece, minPiece + 1, maxFirstPiece, maxFirstPiece + 1, 5*maxPiece + 7} {
		sent := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
		for _, o := range []Options{{}, {Length: int64(size)}, {Expected: int64(size)}, {Expected: 3}, {Expected: 1 << 40}} {
			for _, r := range []io.Reader{bytes.NewReader(sent), iotest.OneByteReader(bytes.NewReader(sent)), iotest.DataErrReader(bytes.NewReader(sent))} {
				b := booking{limit: 1 << 40}
				o.Limit, o.Book = int64(size), b.book
				got, err := Read(r, o)
				if err != nil {
					t.Fatalf("%d bytes, %+v: %v", size, o, err)
				}
				whole, _ := io.ReadAll(got.Reader()) // never fails
				if !bytes.Equal(whole, sent) || !bytes.Equal(got.Bytes(), sent) || got.Len() != int64(size) {
					t.Errorf("%d bytes, %+v: %d bytes read, %d differ", size, o, got.Len(), len(whole))
				}
				held := 0
				for _, p := range got.Pieces() {
					held += cap(p)
				}
				if o.Length == 0 && int64(held) > b.booked {
					t.Errorf("%d bytes, %+v: %d held, %d booked", size, o, held, b.booked)
				}
			}
		}
	}
}

// TestReadOfBodyThatEndsEarly guards against a body that breaks off and is taken for a whole one.
func TestReadOfBodyThatEndsEarly(t *testing.T) {
	broken := func() io.Reader {
		return io.MultiReader(bytes.NewReader(make([]byte, 100)), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	for _, o := range []Options{{Limit: 1000}, {Limit: 1000, Expected: 100}, {Limit: 1000, Length: 200}} {
		o.Book = func(int64) bool { return true }
		if _, err := Read(broken(), o); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%+v: %v", o, err)
		}
	}
	if _, err := Read(bytes.NewReader(make([]byte, 100)), Options{Length: 101}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a body that is shorter than announced: %v", err)
	}
}

// TestReadStopsAtItsLimits checks that nothing is held beyond the limit or without being booked.
func TestReadStopsAtItsLimits(t *testing.T) {
	body := func() io.Reader { return bytes.NewReader(make([]byte, 1<<20)) }
	got, err := Read(body(), Options{Limit: 1<<20 - 1, Book: func(int64) bool { return true }})
	if !errors.Is(err, ErrTooLarge) || got.Len() > 1<<20 {
		t.Errorf("over the limit: %v, %d bytes", err, got.Len())
	}
	b := booking{limit: 100 << 10}
	got, err = Read(body(), Options{Limit: 1 << 20, Book: b.book})
	if !errors.Is(err, ErrNoRoom) || got.Len() > b.booked {
		t.Errorf("without room: %v, %d bytes, %d booked", err, got.Len(), b.booked)
	}
}
