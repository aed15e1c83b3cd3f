package platform

// The HTTP+JSON form of the object API. The client and the stand-in share these
// types, so that the form is written down once.
//
//	GET    /v1/objects?kind=K                 ListBody
//	POST   /v1/objects                        Object in, Object out (create)
//	GET    /v1/objects/{kind}/{name}          Object
//	PUT    /v1/objects/{kind}/{name}          Object in, Object out (update if version)
//	DELETE /v1/objects/{kind}/{name}?version=N&writer=W&nonce=X
//	GET    /v1/watch?kind=K&kind=L&from=N     one Event a line, without end
//
// Kind and name are escaped as one path segment each. Every status of 400 or more
// carries an ErrorBody.
const (
	ObjectsPath = "/v1/objects"
	WatchPath   = "/v1/watch"
)

// ListBody answers a list.
type ListBody struct {
	Version uint64   `json:"version"` // store version of the read
	Objects []Object `json:"objects"`
}

// ErrorCode names an error in the HTTP form.
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

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	Current *Current  `json:"current,omitempty"` // set for conflicts
}

// Current describes the version that stands where a conditional write failed.
type Current struct {
	Version uint64 `json:"version"`
	UID     string `json:"uid"`
	Writer  string `json:"writer"`
	Nonce   string `json:"nonce"`
}

// CurrentOf describes a stored object.
func CurrentOf(o Object) Current {
	return Current{Version: o.Version, UID: o.UID, Writer: o.Writer, Nonce: o.Nonce}
}
