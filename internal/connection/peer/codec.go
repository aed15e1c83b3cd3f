package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// OldestVersion is the oldest protocol version that is understood: a peer may be
// one version behind or ahead while a rolling restart is under way.
const OldestVersion = max(1, ProtocolVersion-1)

// newestUnderstood allows for a peer that was restarted first with the next version.
const newestUnderstood = ProtocolVersion + 1

// Bounds of a decoded message, far above what a daemon sends.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 10
	maxNestedLevels  = 16
)

// Errors of the codec. Test with errors.Is.
var (
	ErrProtocolVersion = errors.New("peer speaks another protocol version")
	ErrMalformed       = errors.New("malformed peer message")
	ErrTooLarge        = errors.New("peer message too large")
)

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("peer codec: " + err.Error()) // the options are constant
	}
	return m
}

func mustDecoding() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
		// Unknown fields are no error: they come from a newer peer.
		ExtraReturnErrors: cbor.ExtraDecErrorNone,
	}.DecMode()
	if err != nil {
		panic("peer codec: " + err.Error()) // the options are constant
	}
	return m
}

// Encode gives the bytes of a message, compressed if it is large.
func Encode(e Envelope) ([]byte, error) {
	data, err := encoding.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode peer message")
	}
	if len(data) > MaxMessageBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(data), MaxMessageBytes)
	}
	if len(data) < packFrom {
		return data, nil
	}
	packed, err := pack(data)
	if err != nil {
		return nil, err
	}
	data, err = encoding.Marshal(Envelope{V: e.V, Packed: packed})
	return data, errors.Wrap(err, "encode peer message")
}

// Decode reads a message. Unknown fields are passed over; a message without any
// body that this version knows is well-formed, and its receiver ignores it.
func Decode(data []byte) (Envelope, error) {
	e, err := decodeOne(data)
	if err != nil || e.Packed == nil {
		return e, err
	}
	inner, err := unpack(e.Packed)
	if err != nil {
		return Envelope{}, err
	}
	e, err = decodeOne(inner)
	if err == nil && e.Packed != nil {
		return Envelope{}, errors.Wrap(ErrMalformed, "packed twice")
	}
	return e, err
}

// decodeOne reads a message that may hold a packed one.
func decodeOne(data []byte) (Envelope, error) {
	var e Envelope
	if len(data) > MaxMessageBytes {
		return e, errors.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(data), MaxMessageBytes)
	}
	if err := decoding.Unmarshal(data, &e); err != nil {
		return Envelope{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if e.V < OldestVersion || e.V > newestUnderstood {
		return Envelope{}, errors.Wrapf(ErrProtocolVersion, "version %d, understood %d to %d", e.V, OldestVersion, newestUnderstood)
	}
	if n := e.bodies(); n > 1 {
		return Envelope{}, errors.Wrap(ErrMalformed, fmt.Sprintf("%d bodies in one message", n))
	}
	return e, nil
}

// bodies counts the bodies that are set.
func (e *Envelope) bodies() int {
	set := []bool{
		e.Hello != nil, e.Heartbeat != nil, e.Delta != nil, e.Fetch != nil, e.Snapshot != nil,
		e.Use != nil, e.Claim != nil, e.Claimed != nil, e.Explain != nil, e.Explained != nil, e.Crashes != nil, e.Packed != nil,
	}
	n := 0
	for _, s := range set {
		if s {
			n++
		}
	}
	return n
}
