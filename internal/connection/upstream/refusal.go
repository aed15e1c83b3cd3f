package upstream

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// RefusalCode is the reason why an engine refused a request before doing anything.
// The list is closed: an answer with another code does not prove that the request did
// not run, so its error matches ErrBroken.
type RefusalCode string

// The refusal codes.
const (
	RefusedRestarted   RefusalCode = "restarted"   // the incarnation differs from the requested one
	RefusedUnknownRun  RefusalCode = "unknown-run" // no such run in this incarnation
	RefusedStaleFence  RefusalCode = "stale-fence" // the engine has seen a newer fencing token
	RefusedBusy        RefusalCode = "busy"        // an order is in progress
	RefusedOverloaded  RefusalCode = "overloaded"  // the queue is full
	RefusedNotLoaded   RefusalCode = "not-loaded"  // model, version or adapter is not loaded
	RefusedWrongRole   RefusalCode = "wrong-role"  // the engine's role does not include this operation
	RefusedLeaving     RefusalCode = "leaving"     // the engine accepts no new work
	RefusedUnsupported RefusalCode = "unsupported" // the engine does not implement this operation
	RefusedInvalid     RefusalCode = "invalid"     // the request is malformed
)

// Refusal is an engine's own statement that it did not start a request. Subject
// repeats the run or order ID of the request, so that a refusal of another request is not
// taken for a refusal of this one.
type Refusal struct {
	Code    RefusalCode `json:"code"`
	Subject string      `json:"subject"`
	Message string      `json:"message,omitempty"`
}

// RefusalBody is the body of a refusal on the wire.
type RefusalBody struct {
	Refusal *Refusal `json:"refusal"`
}

// sentinels returns the errors of this package that a refusal with this code matches, or
// nil for an unknown code. RefusedUnknownRun does not match ErrNotRun, because the run may
// have existed in an earlier incarnation of the engine.
func (c RefusalCode) sentinels() []error {
	switch c {
	case RefusedRestarted:
		return []error{ErrRestarted, ErrNotRun}
	case RefusedUnknownRun:
		return []error{ErrUnknownRun}
	case RefusedStaleFence:
		return []error{ErrStaleFence, ErrNotRun}
	case RefusedBusy:
		return []error{ErrBusy, ErrNotRun}
	case RefusedUnsupported:
		return []error{ErrUnsupported, ErrNotRun}
	case RefusedOverloaded, RefusedNotLoaded, RefusedWrongRole, RefusedLeaving, RefusedInvalid:
		return []error{ErrNotRun}
	}
	return nil
}

// parseRefusal decodes the body of a response as a refusal. It returns an error if the body
// is malformed, refuses another subject, or has an unknown code.
func parseRefusal(body []byte, subject string) (*Refusal, error) {
	var b RefusalBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, errors.Wrap(err, "not a refusal")
	}
	if b.Refusal == nil {
		return nil, errors.New("not a refusal")
	}
	if b.Refusal.Subject != subject {
		return nil, errors.Errorf("refusal of %q, asked for %q", b.Refusal.Subject, subject)
	}
	if b.Refusal.Code.sentinels() == nil {
		return nil, errors.Errorf("refusal code %q is not in the list", b.Refusal.Code)
	}
	return b.Refusal, nil
}

// CallError is the type of every error of a call over HTTP. With errors.Is it
// matches its cause and the errors of this package that apply to the call.
type CallError struct {
	Op        string      // operation, for example "run"
	Address   string      // base URL of the upstream
	Code      RefusalCode // code of the engine's refusal; empty: the engine did not refuse
	sentinels []error     // errors of this package that apply to the call
	cause     error       // nil: none is known
}

// Error implements error.
func (e *CallError) Error() string {
	s := e.Op + " at " + e.Address
	if len(e.sentinels) > 0 {
		s += ": " + e.sentinels[0].Error()
	}
	if e.Code != "" {
		s += ": refused " + string(e.Code)
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the matching errors and the cause.
func (e *CallError) Unwrap() []error {
	out := append([]error(nil), e.sentinels...)
	if e.cause != nil {
		out = append(out, e.cause)
	}
	return out
}

// RefusalCodeOf returns the refusal code of err. It returns false if err is not a refusal
// by the engine itself.
func RefusalCodeOf(err error) (RefusalCode, bool) {
	var e *CallError
	if errors.As(err, &e) && e.Code != "" {
		return e.Code, true
	}
	return "", false
}
