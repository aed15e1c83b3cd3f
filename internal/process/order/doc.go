// Package order is the state machine of one order slot: an engine never holds conflicting orders, and a half-done change is finished or rolled back. Pure.
package order
