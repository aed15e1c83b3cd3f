package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// OldestVersion is the oldest protocol version that is accepted. During a rolling restart
// a peer may be one version behind or ahead of this daemon.
const OldestVersion = max(1, ProtocolVersion-1)

// newestVersion is the newest protocol version that is accepted. A peer has it if it was
// restarted with the next version before this daemon.
const newestVersion = ProtocolVersion + 1

// Limits of a decoded message, far above what a daemon sends.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 10
	maxNestedLevels  = 16
)

// Errors of Encode and Decode. Test for them with errors.Is.
var (
	ErrProtocolVersion = errors.New("peer speaks another protocol version")
	ErrMalformed       = errors.New("malformed peer message")
	ErrTooLarge        = errors.New("peer message too large")
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

func newEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("peer codec: " + err.Error()) // the options are constant
	}
	return m
}

func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
		// Unknown fields are no error: a newer peer may send them.
		ExtraReturnErrors: cbor.ExtraDecErrorNone,
	}.DecMode()
	if err != nil {
		panic("peer codec: " + err.Error()) // the options are constant
	}
	return m
}

// Encode returns the CBOR encoding of a message. If the encoding has compressThreshold
// bytes or more, the result is the encoding of an Envelope that holds it compressed, in
// Packed. Encode returns ErrTooLarge for an encoding of more than MaxMessageBytes.
func Encode(e Envelope) ([]byte, error) {
	data, err := encMode.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode peer message")
	}
	if len(data) > MaxMessageBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(data), MaxMessageBytes)
	}
	if len(data) < compressThreshold {
		return data, nil
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, err
	}
	data, err = encMode.Marshal(Envelope{V: e.V, Packed: compressed})
	return data, errors.Wrap(err, "encode peer message")
}

// Decode decodes a message and decompresses it if necessary. It ignores unknown fields. A
// message whose body this daemon does not know, because the peer has a newer version, is
// valid; the receiver ignores it. An error matches ErrProtocolVersion, ErrMalformed or
// ErrTooLarge.
func Decode(data []byte) (Envelope, error) {
	e, err := decodeEnvelope(data)
	if err != nil || e.Packed == nil {
		return e, err
	}
	decompressed, err := decompress(e.Packed)
	if err != nil {
		return Envelope{}, err
	}
	e, err = decodeEnvelope(decompressed)
	if err == nil && e.Packed != nil {
		return Envelope{}, errors.Wrap(ErrMalformed, "packed twice")
	}
	return e, err
}

// decodeEnvelope decodes a message without decompressing Packed.
func decodeEnvelope(data []byte) (Envelope, error) {
	var e Envelope
	if len(data) > MaxMessageBytes {
		return e, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(data), MaxMessageBytes)
	}
	if err := decMode.Unmarshal(data, &e); err != nil {
		return Envelope{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if e.V < OldestVersion || e.V > newestVersion {
		return Envelope{}, errors.Wrapf(ErrProtocolVersion, "version %d, understood %d to %d", e.V, OldestVersion, newestVersion)
	}
	if n := e.countBodies(); n > 1 {
		return Envelope{}, errors.Wrap(ErrMalformed, fmt.Sprintf("%d bodies in one message", n))
	}
	return e, nil
}

// countBodies returns the number of bodies that are set.
func (e *Envelope) countBodies() int {
	set := []bool{
		e.Hello != nil, e.Heartbeat != nil, e.Delta != nil, e.Fetch != nil, e.Snapshot != nil,
		e.Use != nil, e.Claim != nil, e.ClaimResponse != nil, e.Explain != nil, e.ExplainResponse != nil, e.Crashes != nil, e.Packed != nil,
	}
	n := 0
	for _, isSet := range set {
		if isSet {
			n++
		}
	}
	return n
}
