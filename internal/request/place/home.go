package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// home is the upstream at which requests with the same shared parts of a prompt come
// together for a kind of work: the first by rendezvous hashing, so that all processes
// agree without asking and a leaving upstream moves only its own keys.
func (b *Book) home(now time.Time, q *Query) *load {
	if q.Prompt.Key == 0 || q.Work == Serve {
		return nil
	}
	return b.first(now, q, q.Work.role(), nil)
}

// first is the first upstream of a role by rendezvous hashing, but for one.
func (b *Book) first(now time.Time, q *Query, role upstream.Role, but *load) *load {
	var best *load
	bestWeight := uint64(0)
	for _, l := range b.services[q.Service] {
		if l == but || l.health.silent(now) || !canDo(l.up.Role, role) {
			continue
		}
		if w := rank(q.Prompt.Key, l.up.ID); best == nil || w > bestWeight {
			best, bestWeight = l, w
		}
	}
	return best
}

// source is the engine from which another one that reads a prompt should copy the
// shared parts that it lacks: copying a part takes a small fraction of the time of
// reading it. Prompts with the same parts are read at one engine and decoded at
// another one, so each is the other's source. nil: there is none.
func (b *Book) source(now time.Time, q *Query, reader *load) *load {
	if q.Prompt.Key == 0 || !q.Work.reads() {
		return nil
	}
	if home := b.first(now, q, upstream.RolePrefill, nil); home != nil && home != reader {
		return home
	}
	return b.first(now, q, upstream.RoleDecode, reader)
}

func rank(key uint64, id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(id) // a digest's writes never fail
	return d.Sum64()
}
