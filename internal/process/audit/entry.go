package audit

import (
	"strings"
	"time"
)

// What says what sort of change an entry tells of.
type What string

// The closed list of What values.
const (
	WhatConfig  What = "config"  // an operator's write or delete was accepted or refused
	WhatLease   What = "lease"   // authority over an availability zone changed
	WhatOrder   What = "order"   // an order to an engine
	WhatRole    What = "role"    // a role change, made or refused
	WhatDrain   What = "drain"   // a runner is taken away or given back
	WhatDropped What = "dropped" // entries are missing here; Why says how many
)

// Whats is every What value.
var Whats = []What{WhatConfig, WhatLease, WhatOrder, WhatRole, WhatDrain, WhatDropped}

// Entry is one change.
type Entry struct {
	At      time.Time `json:"at"`               // by the clock of the instance that made the change
	Who     string    `json:"who"`              // instance or operator
	What    What      `json:"what"`             // sort of change
	Object  string    `json:"object,omitempty"` // <Kind>/<name>
	From    string    `json:"from,omitempty"`   // state before
	To      string    `json:"to,omitempty"`     // state after
	Why     string    `json:"why,omitempty"`    // one line
	Epoch   uint64    `json:"epoch,omitempty"`  // lease epoch, where the change needed authority
	Outcome string    `json:"outcome"`
}

// maxFieldBytes bounds each text of an entry, so that a segment's size is bounded.
const maxFieldBytes = 2 << 10

const cutMark = "..."

// bounded cuts overlong texts.
func (e Entry) bounded() Entry {
	for _, text := range []*string{&e.Who, &e.Object, &e.From, &e.To, &e.Why, &e.Outcome} {
		*text = boundText(*text)
	}
	e.What = What(boundText(string(e.What)))
	return e
}

func boundText(s string) string {
	if len(s) <= maxFieldBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxFieldBytes-len(cutMark)], "") + cutMark
}

// segment is the spec of one Audit object. A trail's own segment has Trail, First
// and Entries, entry i having number First+i; a shared one has Records.
type segment struct {
	Trail   string   `json:"trail,omitempty"` // differs between any two trails
	First   uint64   `json:"first,omitempty"`
	Entries []Entry  `json:"entries,omitempty"`
	Records []record `json:"records,omitempty"`
}

// record is one entry of a shared segment.
type record struct {
	Trail  string `json:"trail"`
	Number uint64 `json:"number"`
	Entry  Entry  `json:"entry"`
}

// valid reports whether a decoded object is a segment at all.
func (s segment) valid() bool { return s.Trail != "" || len(s.Records) > 0 }

// all gives the content of either form of segment.
func (s segment) all() []record {
	out := make([]record, 0, len(s.Entries)+len(s.Records))
	for i, e := range s.Entries {
		out = append(out, record{Trail: s.Trail, Number: s.First + uint64(i), Entry: e})
	}
	return append(out, s.Records...)
}

// completed fills in what the recorder left out.
func (e Entry) completed(who string, now time.Time) Entry {
	if e.At.IsZero() || e.At.Year() > maxYear {
		e.At = now
	}
	e.At = e.At.UTC()
	if e.Who == "" {
		e.Who = who
	}
	return e.bounded()
}

// maxYear is the last one that JSON can carry.
const maxYear = 9999
