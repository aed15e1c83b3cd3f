// Package platform is the boundary to the platform's object API: a Go interface
// with typed errors, and one HTTP+JSON implementation of it.
//
// The store gives every write a store-wide version that only grows. Every write
// carries a nonce chosen by the writer, so that after a lost answer a read of the
// object tells whether the write took effect.
package platform
