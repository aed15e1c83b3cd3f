package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"

	"github.com/pkg/errors"
)

// contentBytes is the size of a Content: nobody finds another request with the same one.
const contentBytes = 16

// Content names what a request asks of an upstream. Attempts to have the same work done
// have the same one, whoever makes them: it leaves out the headers, most of which belong to
// one attempt.
type Content [contentBytes]byte

// ContentOf names the work of a request. target is its path with its query.
func ContentOf(method, host, target string, body []byte) Content {
	h := sha256.New()
	for _, part := range []string{method, host, target} {
		writePart(h, part)
	}
	_, _ = h.Write(body) // a hash takes all bytes
	var c Content
	copy(c[:], h.Sum(nil))
	return c
}

// writePart writes a part with its end, so that no two lists of parts are alike.
func writePart(h hash.Hash, part string) {
	_, _ = io.WriteString(h, part) // a hash takes all bytes
	_, _ = h.Write([]byte{0})
}

// String gives the name as hexadecimal digits, as logs and records have it.
func (c Content) String() string { return hex.EncodeToString(c[:]) }

// ParseContent reads what String gave.
func ParseContent(s string) (Content, error) {
	var c Content
	data, err := hex.DecodeString(s)
	if err != nil || len(data) != contentBytes {
		return c, errors.Errorf("content %q: want %d hexadecimal digits", s, 2*contentBytes)
	}
	copy(c[:], data)
	return c, nil
}
