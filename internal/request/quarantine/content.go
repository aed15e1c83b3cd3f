package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"

	"github.com/pkg/errors"
)

// contentBytes is the size of a Content in bytes. With that size it is infeasible to find two different
// requests with the same Content.
const contentBytes = 16

// Content is a hash that identifies the work that a request asks for, or a part of prompts (see PartContent). All attempts at the same
// work have the same Content, whichever caller makes them. Headers are not part of it, because most
// of them belong to one attempt.
type Content [contentBytes]byte

// ContentOf returns the Content of a request. target is its path with the query; body is in pieces of any length.
func ContentOf(method, host, target string, body ...[]byte) Content {
	h := sha256.New()
	for _, part := range []string{method, host, target} {
		writePart(h, part)
	}
	for _, piece := range body {
		_, _ = h.Write(piece) // never returns an error
	}
	var c Content
	copy(c[:], h.Sum(nil))
	return c
}

// writePart hashes a part and a terminator, so that different parts never give the same input.
func writePart(h hash.Hash, part string) {
	_, _ = io.WriteString(h, part) // never returns an error
	_, _ = h.Write([]byte{0})
}

// String returns the hexadecimal form that is used in logs and stored holds.
func (c Content) String() string { return hex.EncodeToString(c[:]) }

// ParseContent parses the form returned by String. It returns an error for any other string.
func ParseContent(s string) (Content, error) {
	var c Content
	data, err := hex.DecodeString(s)
	if err != nil || len(data) != contentBytes {
		return c, errors.Errorf("content %q: want %d hexadecimal digits", s, 2*contentBytes)
	}
	copy(c[:], data)
	return c, nil
}
