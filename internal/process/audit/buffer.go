package audit

import (
	"encoding/json"
	"fmt"
	"time"
)

// limits bound a buffer.
type limits struct {
	entries      int // that wait
	bytes        int // that wait, encoded
	segmentBytes int // of one segment, encoded
}

// waiting is an entry with its encoded size.
type waiting struct {
	entry Entry
	bytes int
}

// buffer holds the entries that wait and the newest segment of one trail. Pure.
// Invariant: segment plus pending are the newest entries without gaps in their
// numbers; an entry leaves pending only when its write certainly took effect.
type buffer struct {
	trail   string
	who     string
	limits  limits
	pending []waiting
	bytes   int

	dropped      uint64 // ever
	droppedSince uint64 // since the last entry that tells of them

	current      segment
	currentBytes int
	currentName  string
	version      uint64 // stored version of the current segment; 0: not stored yet
	segments     int    // begun so far
	next         uint64 // number of pending[0]
	inFlight     int    // entries of pending in the write under way
}

func newBuffer(trail, who string, l limits) *buffer {
	b := &buffer{trail: trail, who: who, limits: l}
	b.begin()
	return b
}

// begin leaves the current segment alone and starts another.
func (b *buffer) begin() {
	b.segments++
	b.currentName = fmt.Sprintf("%s-%06d", b.trail, b.segments)
	b.current = segment{Trail: b.trail, First: b.next}
	b.currentBytes = 0
	b.version = 0
}

// add takes a completed entry, or counts it as dropped. One place is kept for the entry
// that tells of drops.
func (b *buffer) add(now time.Time, e Entry) {
	if b.droppedSince > 0 && b.fits(e) {
		b.push(b.dropNote(now))
		b.droppedSince = 0
	}
	if b.droppedSince > 0 || !b.fits(e) {
		b.dropped++
		b.droppedSince++
		return
	}
	b.push(e)
}

// noteDrops makes sure that drops are told of even if nothing is recorded later.
func (b *buffer) noteDrops(now time.Time) {
	if b.droppedSince > 0 && len(b.pending) < b.limits.entries {
		b.push(b.dropNote(now))
		b.droppedSince = 0
	}
}

func (b *buffer) dropNote(now time.Time) Entry {
	return Entry{
		At: now.UTC(), Who: b.who, What: WhatDropped, Outcome: "dropped",
		Why: fmt.Sprintf("%d entries did not fit the buffer of %d entries and %d bytes",
			b.droppedSince, b.limits.entries, b.limits.bytes),
	}
}

// fits reports whether an entry and a note of drops have place.
func (b *buffer) fits(e Entry) bool {
	return len(b.pending)+1 < b.limits.entries && b.bytes+sizeOf(e) < b.limits.bytes
}

func (b *buffer) push(e Entry) {
	w := waiting{entry: e, bytes: sizeOf(e)}
	b.pending = append(b.pending, w)
	b.bytes += w.bytes
}

// sizeOf is the encoded size of an entry with its comma.
func sizeOf(e Entry) int {
	raw, err := json.Marshal(e)
	if err != nil {
		panic("audit: " + err.Error()) // texts and a bounded time always marshal
	}
	return len(raw) + 1
}

// batch moves on to the segment that the next write stores, and gives its content.
// It is false when nothing waits. Only one write may be under way.
func (b *buffer) batch() (segment, bool) {
	if len(b.pending) == 0 {
		return segment{}, false
	}
	if len(b.current.Entries) > 0 && b.currentBytes+b.pending[0].bytes > b.limits.segmentBytes {
		b.begin()
	}
	out := segment{Trail: b.current.Trail, First: b.current.First}
	out.Entries = append(out.Entries, b.current.Entries...)
	size := b.currentBytes
	b.inFlight = 0
	for _, w := range b.pending {
		if b.inFlight > 0 && size+w.bytes > b.limits.segmentBytes {
			break
		}
		out.Entries = append(out.Entries, w.entry)
		size += w.bytes
		b.inFlight++
	}
	return out, true
}

// stored notes that the write of the last batch took effect at version.
func (b *buffer) stored(version uint64) {
	for _, w := range b.pending[:b.inFlight] {
		b.current.Entries = append(b.current.Entries, w.entry)
		b.currentBytes += w.bytes
		b.bytes -= w.bytes
	}
	b.pending = append([]waiting(nil), b.pending[b.inFlight:]...)
	b.next += uint64(b.inFlight)
	b.inFlight = 0
	b.version = version
}

// refused notes that the write of the last batch had no effect.
func (b *buffer) refused() { b.inFlight = 0 }

// doubtful notes that the fate of the last batch is not known, or that somebody
// touched the segment: the batch will go into a new one.
func (b *buffer) doubtful() {
	b.inFlight = 0
	b.begin()
}
