package ops

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
)

// Limits on connections to the operators' port. Answers are short.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	writeTimeout      = 10 * time.Second
	maxHeaderBytes    = 16 << 10
	maxConnections    = 64 // further ones wait to be accepted
)

// Member is a known daemon in the response of /members.
type Member struct {
	Name    string `json:"name"`
	Role    string `json:"role"` // gateway or controller
	Zone    string `json:"zone"`
	State   string `json:"state"`   // live, suspected, leaving or gone
	Applied uint64 `json:"applied"` // configuration version in force there
}

// StopProgress is the progress of a graceful stop.
type StopProgress struct {
	State   string `json:"state"`   // stage of the stop: serving, leaving (gateways), draining, releasing (controllers) or stopped
	Running int    `json:"running"` // requests in flight at a gateway, or open orders of a controller
}

// Source provides the data of a daemon to the server. Its methods must be safe for
// concurrent use.
type Source interface {
	// Ready reports whether the daemon is ready for new work, and the reason if not.
	Ready() (bool, string)
	// Drain returns the progress of a graceful stop.
	Drain() StopProgress
	// Members returns all known daemons including this one.
	Members() []Member
	// Explain returns lines about a request or a change, or none if it is unknown. One
	// of the two parameters is the id of the subject, and the other one is empty.
	Explain(ctx context.Context, request, change string) []string
}

// Config configures a Server. An empty Key disables authentication, which is meant
// for ports bound to the loopback address.
type Config struct {
	Source  Source
	Metrics http.Handler // serves /metrics
	Key     string       // bearer token that requests must present, except /live and /ready
}

// Server serves the operators' port.
type Server struct {
	echo *echo.Echo
	http *http.Server
}

// New returns a server. Serve must be called to start it.
func New(cfg Config) *Server {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	h := handler{source: cfg.Source}
	// The load balancer probes these two paths without a key. Their responses reveal only
	// whether the daemon is live and ready.
	e.GET("/live", h.live)
	e.GET("/ready", h.ready)
	authenticated := e.Group("", requireKey(cfg.Key))
	authenticated.GET("/metrics", echo.WrapHandler(cfg.Metrics))
	authenticated.GET("/drain", h.drain)
	authenticated.GET("/members", h.members)
	authenticated.GET("/explain", h.explain)
	return &Server{
		echo: e,
		http: &http.Server{
			Handler: e, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes,
		},
	}
}

// Handler returns the server's handler, for tests.
func (s *Server) Handler() http.Handler { return s.echo }

// Serve serves requests on l until Shutdown and then returns nil. For TLS, l must be a TLS
// listener.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(netutil.LimitListener(l, maxConnections))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "operators' port")
}

// Shutdown closes the listener and waits for running requests. If ctx ends first, it
// closes their connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.http.Close()
	}
	return errors.Wrap(err, "operators' port shutdown")
}

type handler struct {
	source Source
}

func (h handler) live(c echo.Context) error {
	return c.String(http.StatusOK, "live\n")
}

func (h handler) ready(c echo.Context) error {
	ok, reason := h.source.Ready()
	if !ok {
		return c.String(http.StatusServiceUnavailable, "not ready: "+reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (h handler) drain(c echo.Context) error {
	return c.JSON(http.StatusOK, h.source.Drain())
}

func (h handler) members(c echo.Context) error {
	return c.JSON(http.StatusOK, h.source.Members())
}

// explainResponse is the response of /explain.
type explainResponse struct {
	Lines []string `json:"lines"`
}

func (h handler) explain(c echo.Context) error {
	request := c.QueryParam("request")
	change := c.QueryParam("change")
	if (request == "") == (change == "") {
		return errkind.Field(errkind.InvalidRequest, "request", "give either request=ID or change=ID")
	}
	lines := h.source.Explain(c.Request().Context(), request, change)
	if len(lines) == 0 {
		return errkind.New(errkind.NotFound, errkind.NotRun, "nothing is known here about "+request+change)
	}
	return c.JSON(http.StatusOK, explainResponse{Lines: lines})
}

// requireKey returns middleware that requires the operators' key as a bearer token,
// unless the key is empty.
func requireKey(key string) echo.MiddlewareFunc {
	want := sha256.Sum256([]byte(key))
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if key == "" {
				return next(c)
			}
			presented := strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
			got := sha256.Sum256([]byte(presented))
			if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
				return errkind.New(errkind.Unauthenticated, errkind.NotRun, "the operators' key is missing or wrong")
			}
			return next(c)
		}
	}
}

// errorResponse is the body of a response with an error status.
type errorResponse struct {
	Kind    errkind.Kind `json:"kind"`
	Message string       `json:"message"`
}

// writeError writes an error response, unless a response has begun. Unknown paths and
// methods get the status that echo chose, and other errors get the one of their kind.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var unrouted *echo.HTTPError
	if errors.As(err, &unrouted) {
		_ = c.JSON(unrouted.Code, errorResponse{errkind.NotFound, "no such path or method"})
		return
	}
	e := errkind.From(err)
	_ = c.JSON(errkind.Lookup(e.Kind).Status, errorResponse{e.Kind, e.Message})
}
