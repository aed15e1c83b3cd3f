// Package claims measures what run-once by Idempotency-Key costs at the platform
// and what it refuses while the platform or a keeper is away. The real cores of
// sessions and keepers run on virtual time, so every count is deterministic.
package claims
