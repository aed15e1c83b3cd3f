// Package gateway implements ragwort-gateway, the reverse proxy between callers and
// upstreams. It handles the network I/O of a request: it admits and routes requests to
// models, claims idempotency keys, and forwards requests to runners and plain services
// with retries and stream resumption. The decisions are made in packages without I/O, such as
// admit, route, retry and claim; this package passes events to them and performs the actions that they
// return.
package gateway
