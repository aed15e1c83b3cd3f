// Package fanout measures how a change of the configuration spreads through a
// fleet, and what the daemons' control traffic costs. It runs the real cores of
// membership and configuration over fake connections and a fake store, on virtual
// time; bytes are those of the real encoding.
package fanout
