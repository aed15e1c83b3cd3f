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

// Filter selects entries. Zero fields match everything.
type Filter struct {
	Since  time.Time
	Object string // <Kind>/<name>
}

// matches reports whether the filter selects an entry. Entries that report drops match any Object.
func (f Filter) matches(e Entry) bool {
	if e.At.Before(f.Since) {
		return false
	}
	return f.Object == "" || e.Object == f.Object || e.Kind == ChangeDropped
}

// Log is the result of Read.
type Log struct {
	Entries    []Entry  // oldest first, without duplicates
	Unreadable []string // names of objects that are not audit segments
}

// Read reads the audit trail of all writers and returns the entries that the filter selects. Entries
// that report drops are included whatever Filter.Object is, because the dropped entries may have
// concerned that object.
func Read(ctx context.Context, s platform.Store, f Filter) (Log, error) {
	objects, _, err := s.List(ctx, resource.KindAudit)
	if err != nil {
		return Log{}, errors.Wrap(err, "reading the audit trail")
	}
	return mergeSegments(objects, f), nil
}

// entryID identifies an entry.
type entryID struct {
	trail  string
	number uint64
}

// mergeSegments returns the matching entries of all segments, without duplicates and sorted
// by time.
func mergeSegments(objects []platform.Object, f Filter) Log {
	var out Log
	seen := map[entryID]bool{}
	for _, o := range objects {
		s, ok := decodeSegment(o)
		if !ok {
			out.Unreadable = append(out.Unreadable, o.Name)
			continue
		}
		for _, r := range s.allRecords() {
			id := entryID{r.Trail, r.Number}
			if seen[id] || !f.matches(r.Entry) {
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

// decodeSegment returns the segment that an object holds, or false if the object is no segment.
func decodeSegment(o platform.Object) (segment, bool) {
	var s segment
	err := json.Unmarshal(o.Spec, &s)
	return s, err == nil && s.valid()
}

// Prune deletes the segments whose entries are all older than before, and returns how many it
// deleted, also with an error. Objects that are no segments stay. If a writer adds to a segment
// meanwhile, its version changes, so the conditional delete has no effect and the segment stays.
func Prune(ctx context.Context, s platform.Store, before time.Time, who string) (int, error) {
	objects, _, err := s.List(ctx, resource.KindAudit)
	if err != nil {
		return 0, errors.Wrap(err, "reading the audit trail")
	}
	deleted := 0
	for _, o := range objects {
		if !entirelyBefore(o, before) {
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

// entirelyBefore reports whether an object is a segment whose entries are all older than before.
func entirelyBefore(o platform.Object, before time.Time) bool {
	s, ok := decodeSegment(o)
	if !ok {
		return false
	}
	for _, r := range s.allRecords() {
		if !r.Entry.At.Before(before) {
			return false
		}
	}
	return true
}
