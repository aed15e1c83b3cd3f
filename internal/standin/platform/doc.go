// Package platform is a stand-in for the platform's object API in tests and trials: an
// in-memory store with one sequence of versions for all objects, a bounded history for
// watches, and fault injection. Store implements platform.Store of
// internal/connection/platform and serves it over HTTP. Nothing is persisted.
package platform
