package audit

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Filter chooses entries. Zero fields do not bind.
type Filter struct {
	Since  time.Time
	Object string // <Kind>/<name>
}

func (f Filter) wants(e Entry) bool {
	if e.At.Before(f.Since) {
		return false
	}
	return f.Object == "" || e.Object == f.Object || e.What == WhatDropped
}

// Log is what Read found.
type Log struct {
	Entries    []Entry  // oldest first, each once
	Unreadable []string // segments that hold no audit entries
}

// Read reads the audit trail of all writers. Entries that tell of drops pass
// every object filter, since what is missing may have been about that object.
func Read(ctx context.Context, s platform.Store, f Filter) (Log, error) {
	objects, _, err := s.List(ctx, resource.KindAudit)
	if err != nil {
		return Log{}, errors.Wrap(err, "reading the audit trail")
	}
	return join(objects, f), nil
}

// entryID tells one entry from another.
type entryID struct {
	trail  string
	number uint64
}

// join puts segments together.
func join(objects []platform.Object, f Filter) Log {
	var out Log
	seen := map[entryID]bool{}
	for _, o := range objects {
		s, ok := decode(o)
		if !ok {
			out.Unreadable = append(out.Unreadable, o.Name)
			continue
		}
		for _, r := range s.all() {
			id := entryID{r.Trail, r.Number}
			if seen[id] || !f.wants(r.Entry) {
				continue
			}
			seen[id] = true
			out.Entries = append(out.Entries, r.Entry)
		}
	}
	// Stable: entries of one trail at one time keep the order of their numbers.
	slices.SortStableFunc(out.Entries, func(a, b Entry) int { return a.At.Compare(b.At) })
	return out
}

func decode(o platform.Object) (segment, bool) {
	var s segment
	err := json.Unmarshal(o.Spec, &s)
	return s, err == nil && s.valid()
}

// Prune deletes segments whose newest entry is older than before. It returns how
// many were deleted. A segment that a writer still grows changes its version, so
// the conditional delete leaves it.
func Prune(ctx context.Context, s platform.Store, before time.Time, who string) (int, error) {
	objects, _, err := s.List(ctx, resource.KindAudit)
	if err != nil {
		return 0, errors.Wrap(err, "reading the audit trail")
	}
	deleted := 0
	for _, o := range objects {
		if !endedBefore(o, before) {
			continue
		}
		err := platform.ResolveDelete(ctx, s, o.Kind, o.Name, o.Version, who)
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return deleted, errors.Wrapf(err, "deleting audit segment %q", o.Name)
		}
		deleted++
	}
	return deleted, nil
}

// endedBefore reports whether every entry of a segment is older than before.
func endedBefore(o platform.Object, before time.Time) bool {
	s, ok := decode(o)
	if !ok {
		return false
	}
	for _, r := range s.all() {
		if !r.Entry.At.Before(before) {
			return false
		}
	}
	return true
}
