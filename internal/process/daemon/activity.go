package daemon

import "sync/atomic"

// Activity counts running requests. The zero value is ready to use. Its methods are safe for concurrent
// use.
type Activity struct{ running atomic.Int64 }

// Begin records the start of a request. Each call must be followed by a call of End.
func (a *Activity) Begin() { a.running.Add(1) }

// End records the end of a request.
func (a *Activity) End() { a.running.Add(-1) }

// Count returns the number of running requests.
func (a *Activity) Count() int { return int(a.running.Load()) }
