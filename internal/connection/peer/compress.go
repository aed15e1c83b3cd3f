package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// compressThreshold is the size, in bytes, of the smallest encoded message that is
// compressed. Smaller messages, such as most heartbeats, would shrink little.
const compressThreshold = 512

// compressors is a pool of *flate.Writer. They are reused because each holds some hundred
// kilobytes of tables.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic("peer codec: " + err.Error()) // the level is constant
	}
	return w
}}

// compress returns an encoded message compressed by DEFLATE (RFC 1951).
func compress(data []byte) ([]byte, error) {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress peer message")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress peer message")
	}
	return out.Bytes(), nil
}

// decompressors is a pool of DEFLATE readers. They are reused because each holds a window of
// some ten kilobytes.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// decompress returns the encoded message that compress compressed. It returns ErrTooLarge
// if the decompressed message has more than MaxMessageBytes, and ErrMalformed if the
// data cannot be decompressed.
func decompress(compressed []byte) ([]byte, error) {
	r := decompressors.Get().(io.Reader)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(compressed), nil); err != nil {
		return nil, errors.Wrap(err, "decompress peer message")
	}
	data, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(data) > MaxMessageBytes {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes decompressed", MaxMessageBytes)
	}
	return data, nil
}
