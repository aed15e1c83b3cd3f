// Package platform is the client of the platform's object store: a Go interface with
// typed errors, and one implementation over HTTP with JSON.
//
// The store assigns a version to every write. Versions are store-wide and increase.
// Updates use optimistic concurrency: each names the version that it replaces. Every
// write carries a nonce chosen by the writer, so that a writer whose answer was lost can
// recognize its own write when it reads the object.
//
// A version consists of an era and a revision. The revision is the number that the store
// assigns to a write. A store that is restored from an older copy assigns some revisions a
// second time. Each restore therefore begins a new era, a higher number (see VersionOf).
package platform
