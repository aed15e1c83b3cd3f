// Package errkind holds the one closed list of error kinds of the system and
// the table from each kind to the answer that a caller sees.
//
// Every refusal or failure that leaves the system carries exactly one Kind and
// one RunState. The invariant behind RunState: NotRun is only ever said when the
// request provably did not start at any upstream.
package errkind
