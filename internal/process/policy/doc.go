// Package policy decides role changes of engines from the demand on them, their capacity and
// the price of a change. It does no I/O.
//
// Gains and costs are measured in useful answers: those that are served and not made late by
// queues or overfull batches.
package policy
