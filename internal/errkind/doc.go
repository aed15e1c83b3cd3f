// Package errkind defines the kinds of errors of the system, which form a closed list, and
// the HTTP status, error type and exit code for each kind.
//
// Each error that the system returns to a caller has exactly one Kind and one
// RunState. NotRun is used only if the request provably did not start at any upstream.
package errkind
