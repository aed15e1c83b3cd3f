// Package scaling decides how many engines of a service to order from the platform, of
// which kind and in which availability zones. An order states the total number of engines
// of one kind that a zone is to have.
//
// There are two kinds of engines: lasting ones, and cheaper revocable ones, which the
// platform may take back, possibly all in a zone at once. The fleet found before the first
// order, the baseline, tells how many engines the operator wants. In each zone most of it
// is replaced by revocable engines, as far as they are available, so that losing those of
// one zone leaves most of the fleet. Lasting engines substitute for unavailable revocable
// ones.
//
// The package does no I/O: engines, prices and a time go in, orders come out. Only the
// instance that holds the deployment's lease orders engines. It stores the baseline and the
// last orders, as a Plan, so that the next holder of the lease continues from them.
package scaling
