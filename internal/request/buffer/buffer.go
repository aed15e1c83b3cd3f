// Package buffer holds the bodies of requests and responses in memory, in pieces. So a body of unknown
// length is never copied to a larger place, and takes no more memory than was booked for it.
package buffer

import (
	"bytes"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// Errors of Read. Test for them with errors.Is.
var (
	ErrTooLarge = errors.New("the body exceeds its limit")
	ErrNoRoom   = errors.New("there is no room for the body")
)

const (
	// minPiece and maxPiece are the sizes of the first and the largest piece of a body of unknown length, in bytes.
	// Each piece is as long as all before it together.
	minPiece = 512
	maxPiece = 256 << 10
	// maxFirstPiece is the size of the first piece of a longer body of known length: its sender may not send it.
	maxFirstPiece = 64 << 10
)

// Buffer is a body. A nil Buffer is empty.
type Buffer struct {
	pieces [][]byte
	size   int64
}

// Options describe a body that is read.
type Options struct {
	Length   int64              // that its end is known by; 0: unknown
	Expected int64              // likely length, if it is unknown; 0: none
	Limit    int64              // in bytes
	Book     func(n int64) bool // books n bytes before they are held; false: they must not be. It isn't called for a known Length
}

// Read reads a body to its end. With an error, it also returns what was read so far: after ErrTooLarge and ErrNoRoom
// the rest follows in r.
func Read(r io.Reader, o Options) (*Buffer, error) {
	if o.Length > 0 {
		return readKnown(r, o.Length)
	}
	b := &Buffer{}
	for {
		n := min(b.nextPiece(o.Expected), o.Limit+1-b.size)
		if n <= 0 {
			return b, ErrTooLarge
		}
		if !o.Book(n) {
			return b, ErrNoRoom
		}
		switch err := b.readPiece(r, n); {
		case err == io.EOF:
			if b.size > o.Limit {
				return b, ErrTooLarge
			}
			return b, nil
		case err != nil:
			return b, err
		}
	}
}

// nextPiece returns the size of the next piece of a body of unknown length.
func (b *Buffer) nextPiece(expected int64) int64 {
	if b.size == 0 && expected > 0 {
		return min(expected+1, maxFirstPiece) // the byte more shows the end
	}
	return min(max(minPiece, b.size), maxPiece)
}

// readKnown reads a body of a known length.
func readKnown(r io.Reader, length int64) (*Buffer, error) {
	b := &Buffer{}
	for b.size < length {
		n := min(max(maxFirstPiece, b.size), length-b.size)
		if err := b.readPiece(r, n); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return b, err
		}
	}
	return b, nil
}

// readPiece reads n bytes. Its error is that of r; io.EOF: the body is at its end.
func (b *Buffer) readPiece(r io.Reader, n int64) error {
	piece := make([]byte, n)
	got := 0
	var err error
	for got < len(piece) && err == nil {
		var m int
		m, err = r.Read(piece[got:])
		got += m
	}
	if got > 0 {
		b.pieces = append(b.pieces, piece[:got])
		b.size += int64(got)
	}
	if int64(got) == n && err == io.EOF {
		return nil // the next read shows the end
	}
	return err
}

// Len returns the number of bytes.
func (b *Buffer) Len() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// Pieces returns the bytes, which must not be changed.
func (b *Buffer) Pieces() [][]byte {
	if b == nil {
		return nil
	}
	return b.pieces
}

// Bytes returns all bytes in one slice, which must not be changed. For a body of several pieces, it is a copy.
func (b *Buffer) Bytes() []byte {
	pieces := b.Pieces()
	if len(pieces) == 1 {
		return pieces[0]
	}
	return slices.Concat(pieces...)
}

// Reader returns a reader of all bytes.
func (b *Buffer) Reader() io.Reader {
	pieces := b.Pieces()
	switch len(pieces) {
	case 0:
		return bytes.NewReader(nil)
	case 1:
		return bytes.NewReader(pieces[0])
	}
	readers := make([]io.Reader, len(pieces))
	for i, p := range pieces {
		readers[i] = bytes.NewReader(p)
	}
	return io.MultiReader(readers...)
}
