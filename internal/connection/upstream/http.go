package upstream

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/defaults"
)

// Defaults of HTTPOptions.
const (
	DefaultDialTimeout       = time.Second
	DefaultCallTimeout       = 5 * time.Second
	DefaultStreamIdleTimeout = 15 * time.Second
	DefaultUserTimeout       = 5 * time.Second
	DefaultOrderLifetime     = 2 * time.Second
	DefaultIdleTimeout       = 2 * time.Second
	DefaultKeepAlive         = 10 * time.Second
	DefaultMaxIdle           = 512
	DefaultMaxLine           = 256 << 10
	DefaultMaxBody           = 8 << 20
)

const (
	keepAliveProbes = 2        // unanswered probes that end a connection
	maxHeaderBytes  = 64 << 10 // of a response
)

// HTTPOptions configures the HTTP client. Zero fields take the defaults.
type HTTPOptions struct {
	Name              string        // expected runner name in load reports and states; empty: not checked
	TLS               *tls.Config   // for https addresses; nil: the system's root certificates
	DialTimeout       time.Duration // for connecting, and again for the TLS handshake
	CallTimeout       time.Duration // for a whole call other than a stream or an order
	StreamIdleTimeout time.Duration // a stream on which no line arrives for this long is broken
	UserTimeout       time.Duration // how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT)
	OrderLifetime     time.Duration // maximum duration of an order, from dialing to the end of the answer
	KeepAlive         time.Duration // idle time before the first keep-alive probe; probes are at least a second apart
	IdleTimeout       time.Duration // how long an idle connection stays in the pool
	MaxIdle           int           // idle connections kept for each host
	MaxLine           int           // maximum length of a line of a stream, in bytes
	MaxBody           int64         // maximum length of any other response body, in bytes
}

// withDefaults returns the options with the defaults in place of zero fields.
func (o HTTPOptions) withDefaults() HTTPOptions {
	defaults.Set(&o.DialTimeout, DefaultDialTimeout)
	defaults.Set(&o.CallTimeout, DefaultCallTimeout)
	defaults.Set(&o.StreamIdleTimeout, DefaultStreamIdleTimeout)
	defaults.Set(&o.UserTimeout, DefaultUserTimeout)
	defaults.Set(&o.OrderLifetime, DefaultOrderLifetime)
	defaults.Set(&o.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&o.KeepAlive, DefaultKeepAlive)
	defaults.Set(&o.MaxIdle, DefaultMaxIdle)
	defaults.Set(&o.MaxLine, DefaultMaxLine)
	defaults.Set(&o.MaxBody, int64(DefaultMaxBody))
	return o
}

// NewTransport returns a transport with its own connection pool. It speaks HTTP/1.1
// only, because an HTTP/1.1 connection carries one request at a time. So if nothing was
// written to the connection since it was chosen for a request, no byte of this request
// was written. The transport ignores proxy settings.
func NewTransport(o HTTPOptions) *http.Transport {
	o = o.withDefaults()
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dialContext(newDialer(o.DialTimeout, o.UserTimeout, o.KeepAlive)),
		TLSClientConfig:        o.TLS,
		TLSHandshakeTimeout:    o.DialTimeout,
		Protocols:              &protocols,
		DisableCompression:     true,
		MaxIdleConns:           0, // limited by MaxIdleConnsPerHost
		MaxIdleConnsPerHost:    o.MaxIdle,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// httpEngine implements Engine over HTTP.
type httpEngine struct {
	address   string   // as configured, for errors
	base      *url.URL // address parsed
	baseErr   error    // why address is malformed; nil: base is valid
	opts      HTTPOptions
	transport *http.Transport
}

// NewHTTP returns the client of the engine at a base URL. It connects on the first call.
// If address is malformed, every call returns an error that matches ErrNotRun. The
// client also implements io.Closer; Close closes idle connections.
func NewHTTP(address string, opts HTTPOptions) Engine {
	e := &httpEngine{address: address, opts: opts.withDefaults()}
	e.base, e.baseErr = parseBase(address)
	e.transport = NewTransport(e.opts)
	return e
}

// parseBase parses and validates a base URL, and removes a slash at its end.
func parseBase(address string) (*url.URL, error) {
	u, err := url.Parse(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", address)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, errors.Errorf("address %q: want http://host:port or https://host:port", address)
	}
	u.Path = strings.TrimSuffix(u.Path, "/")
	return u, nil
}

// Close closes idle connections.
func (e *httpEngine) Close() error {
	e.transport.CloseIdleConnections()
	return nil
}

// Run implements Engine.
func (e *httpEngine) Run(ctx context.Context, r RunRequest) (Stream, error) {
	if r.RunID == "" {
		return nil, notRunError("run", e.address, errors.New("run_id is empty"))
	}
	return e.openStream(ctx, "run", http.MethodPost, PathRun, r, r.RunID)
}

// Resume implements Engine.
func (e *httpEngine) Resume(ctx context.Context, runID string, from int) (Stream, error) {
	if runID == "" || from < 0 {
		return nil, notRunError("resume", e.address, errors.Errorf("run id %q from %d is malformed", runID, from))
	}
	path := PathRuns + url.PathEscape(runID) + "?" + QueryFrom + "=" + strconv.Itoa(from)
	return e.openStream(ctx, "resume", http.MethodGet, path, nil, runID)
}

// Cancel implements Engine.
func (e *httpEngine) Cancel(ctx context.Context, runID string) error {
	err := e.call(ctx, "cancel", http.MethodDelete, PathRuns+url.PathEscape(runID), nil, runID, nil)
	if errors.Is(err, ErrUnknownRun) {
		return nil
	}
	return err
}

// Load implements Engine.
func (e *httpEngine) Load(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	if err := e.call(ctx, "load", http.MethodGet, PathLoad, nil, "", &r); err != nil {
		return LoadReport{}, err
	}
	if err := e.checkName(r.Runner); err != nil {
		return LoadReport{}, brokenError("load", e.address, err)
	}
	return r, nil
}

// CacheEvents implements Engine.
func (e *httpEngine) CacheEvents(ctx context.Context, since uint64) (CacheEvents, error) {
	var r CacheEvents
	path := PathCacheEvents + "?" + QuerySince + "=" + strconv.FormatUint(since, 10)
	if err := e.call(ctx, "cache events", http.MethodGet, path, nil, "", &r); err != nil {
		return CacheEvents{}, err
	}
	return r, nil
}

// State implements Engine.
func (e *httpEngine) State(ctx context.Context) (State, error) {
	var s State
	if err := e.call(ctx, "state", http.MethodGet, PathState, nil, "", &s); err != nil {
		return State{}, err
	}
	if err := e.checkName(s.Runner); err != nil {
		return State{}, brokenError("state", e.address, err)
	}
	return s, nil
}

// Prefill implements Engine.
func (e *httpEngine) Prefill(ctx context.Context, r RunRequest) (string, error) {
	var a PrefillResponse
	if err := e.call(ctx, "prefill", http.MethodPost, PathPrefill, r, r.RunID, &a); err != nil {
		return "", err
	}
	if a.RunID != r.RunID || a.Handle == "" {
		return "", brokenError("prefill", e.address, errors.Errorf("answer of run %q with handle %q, asked for run %q", a.RunID, a.Handle, r.RunID))
	}
	return a.Handle, nil
}

// checkName returns an error if a response names another runner than the expected one.
func (e *httpEngine) checkName(got string) error {
	if e.opts.Name != "" && got != e.opts.Name {
		return errors.Errorf("answer of runner %q, asked runner %q", got, e.opts.Name)
	}
	return nil
}

// call makes one call and decodes its JSON response into out, which may be nil.
// subject is the run or order ID that a refusal must name to count as one of this call.
func (e *httpEngine) call(ctx context.Context, op, method, path string, body any, subject string, out any) error {
	if e.baseErr != nil {
		return notRunError(op, e.address, e.baseErr)
	}
	ctx, cancel := context.WithTimeout(ctx, e.opts.CallTimeout)
	defer cancel()
	req, err := NewRequest(ctx, method, e.base.String()+path, body)
	if err != nil {
		return notRunError(op, e.address, err)
	}
	resp, err := Exchange(e.transport, req, op, e.address)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return decodeAnswer(resp, op, e.address, subject, e.opts.MaxBody, out)
}

// decodeAnswer decodes a JSON response into out. If out is nil, the body is read and
// ignored. It returns an error for a status other than 2xx (see refusalError).
func decodeAnswer(resp *http.Response, op, address, subject string, limit int64, out any) error {
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return refusalError(resp, subject, op, address, limit)
	}
	data, err := readLimited(resp.Body, limit)
	if err != nil {
		return brokenError(op, address, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return brokenError(op, address, errors.Wrap(err, "malformed answer"))
	}
	return nil
}
