package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// hashBytes is the length of a stored key or body hash. At 128 bits of SHA-256 an
// accidental collision between two keys of a deployment can be ruled out.
const hashBytes = 16

// NumBuckets is the number of claim buckets. It is part of the protocol: if two
// gateways used different numbers, one key could have two claims.
const NumBuckets = 64

// Key is the hash of a client account and its Idempotency-Key.
type Key [hashBytes]byte

// Hash is the hash of a request's method, path and body.
type Hash [hashBytes]byte

// KeyOf returns the hash of a client account and its Idempotency-Key.
func KeyOf(account, idempotencyKey string) Key {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s:%s", len(account), account, idempotencyKey)
	return Key(h.Sum(nil)[:hashBytes])
}

// HashOf returns the hash of a request's method, path and body.
func HashOf(method, path string, body []byte) Hash {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s\n", method, path)
	_, _ = h.Write(body)
	return Hash(h.Sum(nil)[:hashBytes])
}

// BucketOf returns the name of the bucket object that holds the claim of a key.
func BucketOf(k Key) string {
	return BucketName(int(binary.BigEndian.Uint64(k[:8]) % NumBuckets))
}

// BucketName returns the name of bucket number n.
func BucketName(n int) string { return fmt.Sprintf("claims-%02d", n) }

// RankKeepers returns a copy of gateways, the names of the live gateways, sorted by their
// rendezvous hash for a bucket, highest first. The first is the bucket's keeper and the
// next ones are its fallbacks. Gateways may safely disagree on which gateways are live,
// since buckets are written by conditional update only.
func RankKeepers(bucket string, gateways []string) []string {
	out := slices.Clone(gateways)
	rank := func(g string) uint64 { return xxhash.Sum64String(bucket + "\x00" + g) }
	slices.SortFunc(out, func(a, b string) int {
		ra, rb := rank(a), rank(b)
		switch {
		case ra > rb:
			return -1
		case ra < rb:
			return 1
		}
		return 0
	})
	return out
}

// Claim records which gateway sends the run of a key, and to which runner.
type Claim struct {
	Key         Key
	Body        Hash
	RunID       string
	Holder      string // gateway that created the claim or last took it over
	Runner      string
	Incarnation string // of the runner; empty if unknown
	Attempt     int    // attemptExclusive or attemptShared
	Serial      uint64 // incremented by each change; a delayed move with an older serial is rejected
	Generation  uint64 // generation of the bucket when a write last granted the claim
}

// Values of Claim.Attempt.
const (
	attemptExclusive = 1 // only the holder uses the claim, and it may move it
	attemptShared    = 2 // another caller has joined; the claim is never moved to another runner
)
