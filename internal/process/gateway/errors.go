package gateway

import (
	"context"
	"math"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// errorBody is the body of an error answer: an OpenAI error object with additional fields of this
// system.
type errorBody struct {
	Error errorFields `json:"error"`
}

// errorFields holds the fields of an error. Param is the request field at fault (nil: none). Code and
// Kind are equal; clients of the OpenAI API read Code.
type errorFields struct {
	Message      string           `json:"message"`
	Type         string           `json:"type"`
	Param        *string          `json:"param"`
	Code         errkind.Kind     `json:"code"`
	Kind         errkind.Kind     `json:"kind"`
	Run          errkind.RunState `json:"run"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
}

// headerRetryAfter is the header that tells a caller when to retry, in whole seconds (RFC 9110,
// section 10.2.3).
const headerRetryAfter = "Retry-After"

// newErrorBody returns the body that describes e to a caller. It omits the cause, which
// may contain internal addresses.
func newErrorBody(e *errkind.Error) errorBody {
	f := errorFields{
		Message:      e.Message,
		Type:         errkind.Lookup(e.Kind).Type,
		Code:         e.Kind,
		Kind:         e.Kind,
		Run:          e.Run,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
	if e.Field != "" {
		f.Param = &e.Field
	}
	return errorBody{Error: f}
}

// retryAfterSeconds returns the Retry-After value for d. It rounds up, so that a caller doesn't retry too
// early.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// writeError answers a request with an error, unless an answer was already started.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := callerError(err)
	if e.RetryAfter > 0 {
		c.Response().Header().Set(headerRetryAfter, retryAfterSeconds(e.RetryAfter))
	}
	_ = c.JSON(errkind.Lookup(e.Kind).Status, newErrorBody(e))
}

// callerError converts any error to an errkind.Error. Errors of echo, such as for a missing path or
// method, become not_found.
func callerError(err error) *errkind.Error {
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		return errkind.New(errkind.NotFound, errkind.NotRun, "no such path or method")
	}
	return errkind.From(err)
}

// callerGoneError returns the final error of a call whose caller has disconnected.
func callerGoneError(ctx context.Context, run errkind.RunState) *errkind.Error {
	return errkind.Wrap(context.Cause(ctx), errkind.Canceled, run, "the caller closed the connection")
}
