package gateway

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
)

// requestMiddleware wraps every handler of the callers' port. It counts the requests in flight,
// recovers panics and writes errors. A panic is answered as an
// internal error whose run state is unknown. http.ErrAbortHandler is passed on to net/http.
// After an error or a panic in a started response, it aborts the connection.
func (g *Gateway) requestMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		g.inFlight.Begin()
		defer g.inFlight.End()
		defer func() {
			if p := recover(); p != nil {
				if p == http.ErrAbortHandler {
					panic(p)
				}
				cause := errors.Errorf("panic: %v", p)
				logline.Error(cause, "panic in a request", "path", c.Path(), "stack", errors.WithStack(cause))
				err = errkind.Wrap(cause, errkind.Internal, errkind.RunUnknown, "a defect of the system")
			}
			if err != nil && c.Response().Committed {
				// If the handler returned, net/http would end the response as if it were complete.
				panic(http.ErrAbortHandler)
			}
			if err != nil {
				// The error is written here rather than by echo, so that the request still counts as
				// in flight and shutdown waits for the write.
				writeError(err, c)
				drainBody(c.Response(), c.Request())
				err = nil
			}
		}()
		return next(c)
	}
}
