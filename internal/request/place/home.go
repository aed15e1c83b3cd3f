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

// source is the engine that keeps the most of the shared parts of a prompt, the one that
// used them last among equals, and how many tokens of them it lacks. Copying a part from
// it takes a small fraction of the time of reading it. nil: none keeps any.
func (b *Book) source(now time.Time, q *Query) (best *load, lacks int) {
	if q.Prompt.Key == 0 {
		return nil, 0
	}
	all := 0
	for i := range q.Prompt.Parts {
		all += q.Prompt.Parts[i].Tokens
	}
	lacks = all
	var usedAt time.Time
	for _, l := range b.services[q.Service] {
		if l.health.silent(now) {
			continue
		}
		missing := l.cached.missing(now, &q.Prompt, q.Memory)
		if missing == all || missing > lacks {
			continue
		}
		if at := l.cached.uses[q.Prompt.Parts[0].Key].at; missing < lacks || at.After(usedAt) {
			best, lacks, usedAt = l, missing, at
		}
	}
	return best, lacks
}

func rank(key uint64, id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(key)
	_, _ = d.WriteString(id) // a digest's writes never fail
	return d.Sum64()
}
