package errkind

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of an error, one of a closed list.
type Kind string

// The error kinds.
const (
	InvalidRequest      Kind = "invalid_request"      // the request is malformed or a field is out of range
	RequestTooLarge     Kind = "request_too_large"    // the body exceeds the configured limit
	HeadTooLarge        Kind = "head_too_large"       // the head of the request exceeds its limit
	Unauthenticated     Kind = "unauthenticated"      // no key, or an unknown key
	PermissionDenied    Kind = "permission_denied"    // the client account may not do this
	NotFound            Kind = "not_found"            // no such model, route or object
	KeyReused           Kind = "key_reused"           // same Idempotency-Key with another body
	RateLimited         Kind = "rate_limited"         // the client account's limit is reached
	DeadlineUnmeetable  Kind = "deadline_unmeetable"  // predicted completion lies past the deadline
	Overloaded          Kind = "overloaded"           // queue bounds are reached
	NoUpstream          Kind = "no_upstream"          // no upstream can serve this now
	Draining            Kind = "draining"             // this instance is stopping
	ClaimUnavailable    Kind = "claim_unavailable"    // the claim could not be recorded during an outage of the platform
	ConfigUnavailable   Kind = "config_unavailable"   // no configuration has been received yet
	UpstreamRefused     Kind = "upstream_refused"     // the upstream refused before running
	CannotContinue      Kind = "cannot_continue"      // no upstream can continue the stream that the request resumes
	Quarantined         Kind = "quarantined"          // upstreams crashed while processing the same work, which is held
	UpstreamFailed      Kind = "upstream_failed"      // the upstream failed while the request ran
	AnswerIncomplete    Kind = "answer_incomplete"    // the stream ended before the response was complete
	AnswerGone          Kind = "answer_gone"          // the run finished but its response is no longer kept
	OutcomeUnknown      Kind = "outcome_unknown"      // the request may or may not have run
	DeadlineExceeded    Kind = "deadline_exceeded"    // the deadline passed while the request ran
	Canceled            Kind = "canceled"             // the caller closed the connection
	Conflict            Kind = "conflict"             // another writer changed the object first
	PlatformUnavailable Kind = "platform_unavailable" // the platform cannot be reached or refuses requests
	NotHolder           Kind = "not_holder"           // this process does not hold the lease
	StaleFence          Kind = "stale_fence"          // the engine has seen a newer fencing token
	InvalidObject       Kind = "invalid_object"       // a resource fails validation
	InvalidSettings     Kind = "invalid_settings"     // settings fail validation
	Internal            Kind = "internal"             // a defect of the system
)

// RunState tells a caller whether its request ran at an upstream.
type RunState string

// The run states.
const (
	NotRun     RunState = "not-run" // provably not started at any upstream
	RunUnknown RunState = "unknown" // may have started at an upstream
	Ran        RunState = "ran"     // started at an upstream, and may have finished
)

// Report describes how errors of one kind are reported to callers and by commands.
type Report struct {
	Status    int    // HTTP status
	Type      string // "type" field of OpenAI error objects
	Retryable bool   // whether the same request can succeed later
	ExitCode  int    // exit code of commands
	Meaning   string // one sentence for docs/ERRORS.md
}

// Exit codes of commands, as documented in docs/ERRORS.md.
const (
	ExitOK          = 0
	ExitInternal    = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitNotFound    = 4
	ExitConflict    = 5
	ExitUnavailable = 6
	ExitDenied      = 7
)

// Values of the "type" field of OpenAI error objects.
const (
	typeInvalid = "invalid_request_error"
	typeAuth    = "authentication_error"
	typeLimit   = "rate_limit_error"
	typeServer  = "server_error"
)

var reportsByKind = map[Kind]Report{
	InvalidRequest:      {http.StatusBadRequest, typeInvalid, false, ExitInvalid, "A field of the request is malformed; the message names it."},
	RequestTooLarge:     {http.StatusRequestEntityTooLarge, typeInvalid, false, ExitInvalid, "The body is larger than the limit in the settings."},
	HeadTooLarge:        {http.StatusRequestHeaderFieldsTooLarge, typeInvalid, false, ExitInvalid, "The head of the request is larger than its limit."},
	Unauthenticated:     {http.StatusUnauthorized, typeAuth, false, ExitDenied, "The key is missing or unknown."},
	PermissionDenied:    {http.StatusForbidden, typeAuth, false, ExitDenied, "The client account may not use this model, priority or operation."},
	NotFound:            {http.StatusNotFound, typeInvalid, false, ExitNotFound, "No such model, route or object."},
	KeyReused:           {http.StatusUnprocessableEntity, typeInvalid, false, ExitConflict, "The Idempotency-Key was used before with another body."},
	RateLimited:         {http.StatusTooManyRequests, typeLimit, true, ExitUnavailable, "The client account's rate or tokens in flight are used up."},
	DeadlineUnmeetable:  {http.StatusServiceUnavailable, typeServer, true, ExitUnavailable, "The deadline cannot be met at the present load."},
	Overloaded:          {http.StatusServiceUnavailable, typeServer, true, ExitUnavailable, "The queue is full, or there is no room for the request."},
	NoUpstream:          {http.StatusServiceUnavailable, typeServer, true, ExitUnavailable, "No upstream can serve the request now."},
	Draining:            {http.StatusServiceUnavailable, typeServer, true, ExitUnavailable, "This instance is stopping; another one answers."},
	ClaimUnavailable:    {http.StatusServiceUnavailable, typeServer, true, ExitUnavailable, "The idempotency claim cannot be recorded while the platform is out."},
	ConfigUnavailable:   {http.StatusServiceUnavailable, typeServer, true, ExitUnavailable, "This instance has no configuration yet."},
	UpstreamRefused:     {http.StatusServiceUnavailable, typeServer, true, ExitUnavailable, "The upstream refused the request before running it."},
	Quarantined:         {http.StatusServiceUnavailable, typeServer, true, ExitUnavailable, "Upstreams crashed under the same work; it isn't sent to any for a while."},
	CannotContinue:      {http.StatusServiceUnavailable, typeServer, false, ExitUnavailable, "The stream can't be continued, as no upstream has the version of software that began it; begin it anew."},
	UpstreamFailed:      {http.StatusBadGateway, typeServer, true, ExitUnavailable, "The upstream failed while the request ran."},
	AnswerIncomplete:    {http.StatusBadGateway, typeServer, true, ExitUnavailable, "The answer broke off and could not be completed."},
	AnswerGone:          {http.StatusGone, typeServer, false, ExitUnavailable, "The request ran; its answer is no longer kept."},
	OutcomeUnknown:      {http.StatusBadGateway, typeServer, false, ExitUnavailable, "The request may or may not have run."},
	DeadlineExceeded:    {http.StatusGatewayTimeout, typeServer, true, ExitUnavailable, "The deadline passed."},
	Canceled:            {499, typeInvalid, false, ExitUnavailable, "The caller closed the connection."},
	Conflict:            {http.StatusConflict, typeInvalid, false, ExitConflict, "Another writer changed the object first; the message names the writer."},
	PlatformUnavailable: {http.StatusServiceUnavailable, typeServer, true, ExitUnavailable, "The platform's object API does not answer."},
	NotHolder:           {http.StatusServiceUnavailable, typeServer, true, ExitUnavailable, "This process does not hold the availability zone's lease."},
	StaleFence:          {http.StatusConflict, typeServer, false, ExitConflict, "The engine has seen a newer fencing number."},
	InvalidObject:       {http.StatusUnprocessableEntity, typeInvalid, false, ExitInvalid, "The resource fails validation; the message names the field."},
	InvalidSettings:     {http.StatusBadRequest, typeInvalid, false, ExitUsage, "The settings fail validation; the message names the field."},
	Internal:            {http.StatusInternalServerError, typeServer, true, ExitInternal, "A defect of the system."},
}

// Lookup returns the Report of a kind, or that of Internal if the kind is unknown.
func Lookup(k Kind) Report {
	if a, ok := reportsByKind[k]; ok {
		return a
	}
	return reportsByKind[Internal]
}

// Kinds returns all kinds in no particular order.
func Kinds() []Kind {
	out := make([]Kind, 0, len(reportsByKind))
	for k := range reportsByKind {
		out = append(out, k)
	}
	return out
}

// Error is an error with a kind and the run state of the request.
type Error struct {
	Kind       Kind
	Run        RunState
	Field      string        // name of the invalid field; empty: the error is not about one
	Message    string        // plain English, without secrets
	RetryAfter time.Duration // 0: not specified
	cause      error
}

// Error implements error. The text begins with the kind and ends with the cause.
func (e *Error) Error() string {
	s := string(e.Kind)
	if e.Field != "" {
		s += " " + e.Field
	}
	if e.Message != "" {
		s += ": " + e.Message
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of kind k for a request in run state run.
func New(k Kind, run RunState, message string) *Error {
	return &Error{Kind: k, Run: run, Message: message}
}

// Field returns an error of kind k about a field of a request, object or settings
// file. Its run state is NotRun.
func Field(k Kind, field, message string) *Error {
	return &Error{Kind: k, Run: NotRun, Field: field, Message: message}
}

// Wrap returns an error of kind k with a cause, for a request in run state run.
func Wrap(cause error, k Kind, run RunState, message string) *Error {
	return &Error{Kind: k, Run: run, Message: message, cause: cause}
}

// WithRetryAfter returns a copy of the error with the time after which the caller
// may retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the first *Error in the chain of err. If there is none, it returns an error
// of kind Internal with err as its cause and RunUnknown, because nothing proves that the
// request did not run.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, RunUnknown, "unexpected error")
}

// Is reports whether the first *Error in the chain of err has kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
