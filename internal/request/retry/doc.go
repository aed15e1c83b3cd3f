// Package retry decides whether a failed attempt may be retried, limits retries to a
// share of the requests, and decides which upstreams are ejected as outliers. It does no
// I/O and reads no clock: callers pass in the time.
package retry
