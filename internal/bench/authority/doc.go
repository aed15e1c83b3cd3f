// Package authority measures failover of the lease and of orders, on virtual time
// over the real cores. A small world of fakes stands at the interfaces: a store with
// conditional updates, engines, and nodes that carry out the cores' actions. The
// failure tests of this package run the same world under faults.
package authority
