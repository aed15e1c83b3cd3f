// Package roles decides how many engines of a service run prefill and how many run
// decode, from the demand that all instances measured over the last seconds. It does
// no I/O.
//
// Package policy makes a similar decision from the rates that an operator declares for each
// engine class, and compares gains and losses of a role change over minutes. This package is
// for services without declared rates: it uses measured request times, and decides within
// seconds, because a role change takes an engine out of service for seconds and the mix of
// requests changes just as fast.
package roles
