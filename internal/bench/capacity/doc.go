// Package capacity measures the slopes that docs/CAPACITY.md is worked out from,
// and checks that the counts written there (bytes, messages, calls) are still what
// the code does. Times are printed by the other measurements and never checked.
package capacity
