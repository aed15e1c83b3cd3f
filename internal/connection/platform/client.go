package platform

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/httphead"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/jsondepth"
)

// Defaults of ClientConfig.
const (
	DefaultTimeout        = 5 * time.Second
	DefaultCallsPerSecond = 50
	DefaultWatchIdle      = 15 * time.Second
	DefaultWatchGiveUp    = 10 * time.Second
)

const (
	idleConnsPerHost       = 8
	idleConnTimeout        = 60 * time.Second
	maxErrorResponseBytes  = 64 << 10
	maxObjectResponseBytes = 2*MaxValueBytes + 64<<10 // an escaped spec and the other fields of the object
	maxListResponseBytes   = 1 << 30
	watchChargeInterval    = time.Second // how often an open watch takes one call from the rate limiter
)

// ClientConfig configures a Client. Zero fields other than Address take the
// defaults.
type ClientConfig struct {
	Address        string        // base URL
	Key            string        // bearer key; empty: none
	CAFile         string        // PEM file of the certificate authority to trust; empty: the system's
	Timeout        time.Duration // limit of one call, and of opening a watch; includes the wait for the rate limiter
	CallsPerSecond float64       // rate limit of this client; an open watch counts as one call a second
	Burst          int           // burst of the rate limiter, calls; default: CallsPerSecond, at least 1
	Backoff        Backoff       // delays between attempts to reopen a watch
	WatchIdle      time.Duration // a watch without an event or bookmark for this long is reopened
	WatchGiveUp    time.Duration // a watch ends with ErrUnavailable once reopening it has failed for this long
	Seed           uint64        // seed of the jitter; zero: random, so that processes that failed together don't retry together
}

// Client is the HTTP+JSON implementation of Store. It is safe for concurrent use.
type Client struct {
	cfg         ClientConfig
	base        string
	http        *http.Client
	limiter     *rate.Limiter
	jitter      *jitter
	openWatches atomic.Int64
	calls       atomic.Uint64
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It makes no call. It returns an error if Address is not an
// http or https URL or CAFile holds no certificate.
func NewClient(cfg ClientConfig) (*Client, error) {
	cfg = withDefaults(cfg)
	base, err := url.Parse(cfg.Address)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, errors.Errorf("platform address %q: want http://host:port or https://host:port", cfg.Address)
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: cfg.Timeout}).DialContext,
		TLSHandshakeTimeout: cfg.Timeout,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
	if cfg.CAFile != "" {
		pool, err := loadCA(cfg.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return &Client{
		cfg:     cfg,
		base:    strings.TrimRight(cfg.Address, "/"),
		http:    &http.Client{Transport: transport},
		limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst),
		jitter:  newJitter(cfg.Seed),
	}, nil
}

func withDefaults(cfg ClientConfig) ClientConfig {
	if cfg.Timeout <= 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.CallsPerSecond <= 0 {
		cfg.CallsPerSecond = DefaultCallsPerSecond
	}
	if cfg.Burst <= 0 {
		cfg.Burst = max(1, int(cfg.CallsPerSecond))
	}
	if cfg.Backoff.Base <= 0 || cfg.Backoff.Max <= 0 {
		cfg.Backoff = DefaultBackoff
	}
	if cfg.WatchIdle <= 0 {
		cfg.WatchIdle = DefaultWatchIdle
	}
	if cfg.WatchGiveUp <= 0 {
		cfg.WatchGiveUp = DefaultWatchGiveUp
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	return cfg
}

// loadCA reads the certificates of a PEM file. It returns an error if there are none.
func loadCA(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the platform's CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("platform CA file %q holds no PEM certificate", path)
	}
	return pool, nil
}

// Close closes idle connections. It does not end open watches.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Calls returns the number of HTTP requests sent so far, including those that open or reopen
// a watch.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	path, err := objectPath(kind, name)
	if err != nil {
		return o, err
	}
	err = c.call(ctx, request{method: http.MethodGet, path: path, kind: kind, name: name}, &o, maxObjectResponseBytes)
	return o, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	var body listResponse
	path := ObjectsPath
	if kind != "" {
		path += "?" + url.Values{"kind": {kind}}.Encode()
	}
	err := c.call(ctx, request{method: http.MethodGet, path: path, kind: kind}, &body, maxListResponseBytes)
	return body.decodeObjects(), body.Version, err
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, o Object) (Object, error) {
	if _, err := objectPath(o.Kind, o.Name); err != nil {
		return Object{}, err
	}
	return c.write(ctx, http.MethodPost, ObjectsPath, o)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, o Object) (Object, error) {
	path, err := objectPath(o.Kind, o.Name)
	if err != nil {
		return Object{}, err
	}
	return c.write(ctx, http.MethodPut, path, o)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64, writer, nonce string) error {
	path, err := objectPath(kind, name)
	if err != nil {
		return err
	}
	query := url.Values{"writer": {writer}, "nonce": {nonce}}
	if ifVersion != 0 {
		query.Set("version", strconv.FormatUint(ifVersion, 10))
	}
	r := request{method: http.MethodDelete, path: path + "?" + query.Encode(), kind: kind, name: name, write: true}
	return c.call(ctx, r, nil, maxObjectResponseBytes)
}

// write makes the write of o by an HTTP request and returns the object as stored.
func (c *Client) write(ctx context.Context, method, path string, o Object) (Object, error) {
	if len(o.Spec) > MaxValueBytes {
		return Object{}, errors.Wrapf(ErrTooLarge, "%s/%s: %d bytes, at most %d", o.Kind, o.Name, len(o.Spec), MaxValueBytes)
	}
	body, err := json.Marshal(o)
	if err != nil {
		return Object{}, errors.Wrapf(ErrInvalid, "%s/%s: %v", o.Kind, o.Name, err)
	}
	var stored Object
	r := request{method: method, path: path, kind: o.Kind, name: o.Name, body: body, write: true}
	if err := c.call(ctx, r, &stored, maxObjectResponseBytes); err != nil {
		return Object{}, err
	}
	return stored, nil
}

// objectPath returns the URL path of an object. It returns ErrInvalid for a kind or
// name that cannot be one path segment.
func objectPath(kind, name string) (string, error) {
	for _, segment := range []string{kind, name} {
		if segment == "" || segment == "." || segment == ".." {
			return "", errors.Wrapf(ErrInvalid, "%q/%q: kind and name must not be empty, %q or %q", kind, name, ".", "..")
		}
	}
	return ObjectsPath + "/" + url.PathEscape(kind) + "/" + url.PathEscape(name), nil
}

// request is one HTTP call.
type request struct {
	method string
	path   string // with query
	kind   string // for error messages
	name   string // for error messages
	body   []byte
	write  bool // the call changes the store, so its outcome is unknown if the answer is lost
}

// call makes one call within the rate limit and the timeout. It decodes at most
// limit bytes of the response into out. If out is nil, the body is ignored.
func (c *Client) call(ctx context.Context, r request, out any, limit int64) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return errors.Wrapf(ErrUnavailable, "call budget of %g a second: %v", c.cfg.CallsPerSecond, err)
	}
	res, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return responseError(r, res)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(jsondepth.NewReader(io.LimitReader(res.Body, limit))).Decode(out); err != nil {
		return r.lostAnswerError(errors.Wrap(err, "reading the answer"))
	}
	return nil
}

// send sends a request and returns the response, whose head is well-formed. If that fails before a connection was
// made, the error matches ErrUnavailable; if it fails later, the error is that of a lost
// answer (see lostAnswerError).
func (c *Client) send(ctx context.Context, r request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	if c.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	if len(r.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	c.calls.Add(1)
	res, err := c.http.Do(req)
	if err == nil {
		if err = httphead.Check(res); err == nil {
			return res, nil
		}
		_ = res.Body.Close() // nothing of it is used
		c.http.CloseIdleConnections()
	}
	if !connected.Load() {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil, r.lostAnswerError(err)
}

// lostAnswerError returns the error of a call whose response did not arrive, or not whole:
// ErrOutcomeUnknown for a write, which may have taken effect, and ErrUnavailable for a read.
func (r request) lostAnswerError(cause error) error {
	if r.write {
		return errors.Wrap(ErrOutcomeUnknown, cause.Error())
	}
	return errors.Wrap(ErrUnavailable, cause.Error())
}

// responseError returns the error for a response with a status of 400 or more. A response
// without an ErrorBody comes from a proxy, which cannot know whether a write took effect.
// Such a response is treated as a lost answer, except for status 429, which a proxy sends
// only before it forwards a call.
func responseError(r request, res *http.Response) error {
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxErrorResponseBytes))
	if err != nil {
		return r.lostAnswerError(err)
	}
	var body ErrorBody
	if err := json.Unmarshal(raw, &body); err != nil || body.Code == "" {
		if res.StatusCode == http.StatusTooManyRequests {
			return errors.Wrap(ErrUnavailable, res.Status)
		}
		return r.lostAnswerError(errors.New(res.Status))
	}
	switch body.Code {
	case CodeNotFound:
		return errors.Wrapf(ErrNotFound, "%s/%s", r.kind, r.name)
	case CodeConflict:
		conflict := &ConflictError{Kind: r.kind, Name: r.name}
		if body.Current != nil {
			conflict.Current = *body.Current
		}
		return conflict
	case CodeUnavailable:
		return errors.Wrap(ErrUnavailable, body.Message)
	case CodeHistoryGone:
		return errors.Wrap(ErrHistoryGone, body.Message)
	case CodeTooLarge:
		return errors.Wrap(ErrTooLarge, body.Message)
	case CodeInvalid:
		return errors.Wrap(ErrInvalid, body.Message)
	case CodeDenied:
		return &deniedError{message: body.Message}
	default:
		return r.lostAnswerError(errors.New(body.Message))
	}
}
