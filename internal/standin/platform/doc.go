// Package platform stands in for the platform's object API in tests and trials:
// an in-memory store with store-wide versions, a bounded watch history and
// switchable faults. It implements the Store interface directly and serves the
// HTTP form of it. Nothing is kept when the process ends.
package platform
