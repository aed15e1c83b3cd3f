package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// packFrom is the size from which a message is compressed. Smaller ones, most
// heartbeats among them, would gain little.
const packFrom = 512

// packers are kept because each holds some hundred kilobytes of tables.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic("peer codec: " + err.Error()) // the level is constant
	}
	return w
}}

// pack compresses an encoded message (DEFLATE, RFC 1951).
func pack(data []byte) ([]byte, error) {
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "pack peer message")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack peer message")
	}
	return out.Bytes(), nil
}

// unpackers are kept because each holds a window of some ten kilobytes.
var unpackers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// unpack gives the encoded message back, no more than MaxMessageBytes of it.
func unpack(packed []byte) ([]byte, error) {
	r := unpackers.Get().(io.Reader)
	defer unpackers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, errors.Wrap(err, "unpack peer message")
	}
	data, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(data) > MaxMessageBytes {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes unpacked", MaxMessageBytes)
	}
	return data, nil
}
