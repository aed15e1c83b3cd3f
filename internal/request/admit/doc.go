// Package admit implements admission control. It admits requests for which a runner is
// on time, refuses those that are predicted to be late, and keeps the others in a bounded
// queue, ordered by priority and then by earliest due time. It does no I/O and reads no
// clock: callers pass in the time and their current view of the runners.
package admit
