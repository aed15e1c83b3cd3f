package audit

import (
	"strings"
	"time"
)

// ChangeKind is the kind of change that an entry records.
type ChangeKind string

// All kinds of changes.
const (
	ChangeConfig  ChangeKind = "config"  // an operator's write or delete was accepted or refused
	ChangeLease   ChangeKind = "lease"   // authority over an availability zone changed
	ChangeOrder   ChangeKind = "order"   // an order to an engine
	ChangeRole    ChangeKind = "role"    // a role change was made or refused
	ChangeDrain   ChangeKind = "drain"   // a runner is taken out of service or returned to it
	ChangeDropped ChangeKind = "dropped" // entries were dropped before this one; Why says how many
)

// ChangeKinds lists all values of ChangeKind.
var ChangeKinds = []ChangeKind{ChangeConfig, ChangeLease, ChangeOrder, ChangeRole, ChangeDrain, ChangeDropped}

// Entry records one change.
type Entry struct {
	At      time.Time  `json:"at"`               // by the clock of the instance that made the change
	Who     string     `json:"who"`              // instance or operator
	Kind    ChangeKind `json:"what"`             // kind of change
	Object  string     `json:"object,omitempty"` // <Kind>/<name>
	From    string     `json:"from,omitempty"`   // state before
	To      string     `json:"to,omitempty"`     // state after
	Why     string     `json:"why,omitempty"`    // one line
	Epoch   uint64     `json:"epoch,omitempty"`  // lease epoch, if the change required authority
	Outcome string     `json:"outcome"`
}

// maxFieldBytes is the maximum length of each text of an entry in bytes. It also limits the size of
// a segment that exceeds its own limit because it holds a single long entry.
const maxFieldBytes = 2 << 10

const truncationMark = "..."

// truncated returns the entry with overlong texts truncated.
func (e Entry) truncated() Entry {
	for _, text := range []*string{&e.Who, &e.Object, &e.From, &e.To, &e.Why, &e.Outcome} {
		*text = truncateText(*text)
	}
	e.Kind = ChangeKind(truncateText(string(e.Kind)))
	return e
}

// truncateText cuts a text to maxFieldBytes, with truncationMark at its end. It doesn't leave part
// of a character.
func truncateText(s string) string {
	if len(s) <= maxFieldBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxFieldBytes-len(truncationMark)], "") + truncationMark
}

// segment is the spec of an Audit object. A trail's own segment has Trail, First and
// Entries, where entry i has number First+i; a shared segment has Records.
type segment struct {
	Trail   string   `json:"trail,omitempty"` // unique name of the trail
	First   uint64   `json:"first,omitempty"`
	Entries []Entry  `json:"entries,omitempty"`
	Records []record `json:"records,omitempty"`
}

// record is one entry of a shared segment, with the trail and number that identify it. Each call of
// Append is a trail of its own.
type record struct {
	Trail  string `json:"trail"`
	Number uint64 `json:"number"`
	Entry  Entry  `json:"entry"`
}

// valid reports whether a decoded object is a segment.
func (s segment) valid() bool { return s.Trail != "" || len(s.Records) > 0 }

// allRecords returns the records of either kind of segment.
func (s segment) allRecords() []record {
	out := make([]record, 0, len(s.Entries)+len(s.Records))
	for i, e := range s.Entries {
		out = append(out, record{Trail: s.Trail, Number: s.First + uint64(i), Entry: e})
	}
	return append(out, s.Records...)
}

// withDefaults sets At and Who if they are missing, replaces an At that can't be encoded,
// and truncates overlong texts.
func (e Entry) withDefaults(who string, now time.Time) Entry {
	if e.At.IsZero() || e.At.Year() > maxYear {
		e.At = now
	}
	e.At = e.At.UTC()
	if e.Who == "" {
		e.Who = who
	}
	return e.truncated()
}

// maxYear is the last year that JSON can represent.
const maxYear = 9999
