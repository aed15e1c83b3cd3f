package platform

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// Paths of the platform's object API, which is HTTP with JSON. The client and the stand-in
// for the platform share these paths and the types below.
//
//	GET    /v1/objects?kind=K                 ListBody
//	POST   /v1/objects                        Object in, Object out (create)
//	GET    /v1/objects/{kind}/{name}          Object
//	PUT    /v1/objects/{kind}/{name}          Object in, Object out (update if version)
//	DELETE /v1/objects/{kind}/{name}?version=N&writer=W&nonce=X
//	GET    /v1/watch?kind=K&kind=L&from=N     one Event on each line, until the connection is closed
//
// Kind and name are each escaped as one path segment. A response with a status of
// 400 or more has an ErrorBody.
const (
	ObjectsPath = "/v1/objects"
	WatchPath   = "/v1/watch"
)

// ListBody is the body of the response to a list.
type ListBody struct {
	Version uint64   `json:"version"` // store version at which the objects were read
	Objects []Object `json:"objects"`
}

// listResponse is a ListBody with objects that aren't decoded yet.
type listResponse struct {
	Version uint64            `json:"version"`
	Objects []json.RawMessage `json:"objects"`
}

// decodeObjects decodes the objects of a list. It logs those that can't be decoded, which other writers may have created,
// and leaves them out.
func (l *listResponse) decodeObjects() []Object {
	out := make([]Object, 0, len(l.Objects))
	for _, data := range l.Objects {
		var o Object
		err := json.Unmarshal(data, &o)
		if err == nil && (o.Kind == "" || o.Name == "") {
			err = errors.New("no kind or no name")
		}
		if err != nil {
			logUnreadable(o, err)
			continue
		}
		out = append(out, o)
	}
	return out
}

// logUnreadable logs an object of which only a part could be decoded.
func logUnreadable(o Object, err error) {
	logline.Info("entry unreadable", "kind", o.Kind, "name", o.Name, "why", err)
}

// ErrorCode identifies an error in an ErrorBody.
type ErrorCode string

// The error codes.
const (
	CodeNotFound    ErrorCode = "not_found"
	CodeConflict    ErrorCode = "conflict"
	CodeUnavailable ErrorCode = "unavailable"
	CodeHistoryGone ErrorCode = "history_gone"
	CodeTooLarge    ErrorCode = "too_large"
	CodeInvalid     ErrorCode = "invalid"
	CodeDenied      ErrorCode = "denied"
	CodeUnknown     ErrorCode = "unknown"
)

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	Current *Current  `json:"current,omitempty"` // the stored version, for CodeConflict
}

// Current describes the stored version that made a conditional write fail.
type Current struct {
	Version uint64 `json:"version"`
	UID     string `json:"uid"`
	Writer  string `json:"writer"`
	Nonce   string `json:"nonce"`
}

// CurrentOf describes the stored object o for the answer to a write that conflicts with it.
func CurrentOf(o Object) Current {
	return Current{Version: o.Version, UID: o.UID, Writer: o.Writer, Nonce: o.Nonce}
}
