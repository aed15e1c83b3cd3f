package audit

import (
	"encoding/json"
	"fmt"
	"time"
)

// limits are the limits of a buffer. Sizes are those of the JSON encoding.
type limits struct {
	entries      int // number of pending entries
	bytes        int // size of the pending entries together
	segmentBytes int // size of the entries of one segment
}

// pendingEntry is an entry that is not yet stored, with its encoded size (see sizeOf).
type pendingEntry struct {
	entry Entry
	bytes int
}

// buffer holds the pending entries and the newest segment of one trail. It does no I/O.
//
// Invariant: the entries of the newest segment, followed by the pending ones, are the newest
// entries of the trail, numbered without gaps. An entry is removed from pending only when it
// is certain that its write has taken effect.
type buffer struct {
	trail   string
	who     string
	limits  limits
	pending []pendingEntry
	bytes   int

	dropped         uint64 // entries dropped in total
	unreportedDrops uint64 // entries dropped since the last entry that reports drops

	current      segment // newest segment, with its stored entries
	currentBytes int     // encoded size of the entries of current
	currentName  string
	version      uint64 // stored version of the current segment; 0: not stored yet
	segments     int    // started so far
	next         uint64 // number of pending[0]
	inFlight     int    // number of pending entries in the current write
}

func newBuffer(trail, who string, l limits) *buffer {
	b := &buffer{trail: trail, who: who, limits: l}
	b.startSegment()
	return b
}

// startSegment makes an empty segment the current one. What is stored of the previous one stays
// as it is.
func (b *buffer) startSegment() {
	b.segments++
	b.currentName = fmt.Sprintf("%s-%06d", b.trail, b.segments)
	b.current = segment{Trail: b.trail, First: b.next}
	b.currentBytes = 0
	b.version = 0
}

// add adds an entry to the pending ones, or counts it as dropped if there is no space. If
// entries were dropped before, it first adds an entry that reports them. Space for one such
// entry is always reserved.
func (b *buffer) add(now time.Time, e Entry) {
	if b.unreportedDrops > 0 && b.fits(e) {
		b.push(b.newDropEntry(now))
		b.unreportedDrops = 0
	}
	if b.unreportedDrops > 0 || !b.fits(e) {
		b.dropped++
		b.unreportedDrops++
		return
	}
	b.push(e)
}

// addDropEntry adds an entry that reports the unreported drops, if there are any. Otherwise
// add would report them only when another entry is recorded.
func (b *buffer) addDropEntry(now time.Time) {
	if b.unreportedDrops > 0 && len(b.pending) < b.limits.entries {
		b.push(b.newDropEntry(now))
		b.unreportedDrops = 0
	}
}

// newDropEntry returns an entry that reports the unreported drops.
func (b *buffer) newDropEntry(now time.Time) Entry {
	return Entry{
		At: now.UTC(), Who: b.who, Kind: ChangeDropped, Outcome: "dropped",
		Why: fmt.Sprintf("%d entries did not fit the buffer of %d entries and %d bytes",
			b.unreportedDrops, b.limits.entries, b.limits.bytes),
	}
}

// fits reports whether there is space for an entry and, after it, for an entry that reports
// drops.
func (b *buffer) fits(e Entry) bool {
	return len(b.pending)+1 < b.limits.entries && b.bytes+sizeOf(e) < b.limits.bytes
}

// push adds an entry to the pending ones without checking the limits.
func (b *buffer) push(e Entry) {
	p := pendingEntry{entry: e, bytes: sizeOf(e)}
	b.pending = append(b.pending, p)
	b.bytes += p.bytes
}

// sizeOf returns the size of the JSON encoding of an entry and the comma after it, in bytes.
func sizeOf(e Entry) int {
	raw, err := json.Marshal(e)
	if err != nil {
		panic("audit: " + err.Error()) // strings and a bounded time can always be encoded
	}
	return len(raw) + 1
}

// nextBatch returns the content of the segment that the next write stores: the entries of the
// current segment and as many pending ones as fit. It first starts another segment if the
// current one is full. It returns false if nothing is pending. The caller must report the
// outcome with one of the batch methods below before it calls nextBatch again.
func (b *buffer) nextBatch() (segment, bool) {
	if len(b.pending) == 0 {
		return segment{}, false
	}
	if len(b.current.Entries) > 0 && b.currentBytes+b.pending[0].bytes > b.limits.segmentBytes {
		b.startSegment()
	}
	out := segment{Trail: b.current.Trail, First: b.current.First}
	out.Entries = append(out.Entries, b.current.Entries...)
	size := b.currentBytes
	b.inFlight = 0
	for _, p := range b.pending {
		if b.inFlight > 0 && size+p.bytes > b.limits.segmentBytes {
			break
		}
		out.Entries = append(out.Entries, p.entry)
		size += p.bytes
		b.inFlight++
	}
	return out, true
}

// batchStored records that the last batch was stored, at the given version of the segment.
func (b *buffer) batchStored(version uint64) {
	for _, p := range b.pending[:b.inFlight] {
		b.current.Entries = append(b.current.Entries, p.entry)
		b.currentBytes += p.bytes
		b.bytes -= p.bytes
	}
	b.pending = append([]pendingEntry(nil), b.pending[b.inFlight:]...)
	b.next += uint64(b.inFlight)
	b.inFlight = 0
	b.version = version
}

// batchRejected records that the write of the last batch certainly had no effect. The next
// batch goes to the same segment.
func (b *buffer) batchRejected() { b.inFlight = 0 }

// batchUncertain records that it is not known whether the last batch was stored, or that
// another process changed the segment. The entries stay pending and are written to a new
// segment.
func (b *buffer) batchUncertain() {
	b.inFlight = 0
	b.startSegment()
}
