// Package usage counts the requests of client accounts by windows of time, and decides how
// the deployment reports each window once, with one set of counts for ever.
//
// Each instance counts what begins to run for its own callers (Counter) and tells it, as sums
// that only grow, to the instances that may hold the duty. These add it up (Ledger). The
// holder of the duty (Reporter) writes what it is about to report to the platform's store
// before it reports it, so that whoever holds the duty next repeats the same counts.
//
// The cores are pure: times come in, actions go out.
package usage
