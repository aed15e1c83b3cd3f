// Package ops implements the HTTP server on the operators' port of a daemon. It serves
// liveness, readiness, metrics, the progress of a graceful stop, the known daemons, and
// explanations of requests and changes.
package ops
