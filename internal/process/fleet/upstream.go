package fleet

import (
	"strconv"
	"strings"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Incarnation identifies one run of an upstream's process, from its start to its end. State is kept
// for each incarnation: a process that restarted with the same ID has none of the earlier state.
type Incarnation string

// Upstream is an entry of the platform's list.
type Upstream struct {
	ID        string // may be the same as before a restart
	StartedMS int64  // start of the process, ms since the Unix epoch; 0: not reported
	Service   string
	Address   string // host:port
	Zone      string
	Slots     int // number of requests that it runs at the same time
	Leaving   bool
	WarmUp    time.Duration // how long it is slow after its start
	Role      upstream.Role // of a model engine; empty: a plain service
	Revocable bool          // the platform may reclaim it at short notice
	Software  string        // version of its software; empty: not known
	NextRole  upstream.Role // role that it is to change to; empty: none
}

// Incarnation returns the current incarnation of the upstream. Without StartedMS it is identified
// by the ID alone.
func (u *Upstream) Incarnation() Incarnation {
	if u.StartedMS == 0 {
		return Incarnation(u.ID)
	}
	return Incarnation(u.ID + "@" + strconv.FormatInt(u.StartedMS, 10))
}

// possibleIDs returns the IDs that an upstream of this incarnation may have. There are two if the
// incarnation contains "@", since an ID may contain that too.
func (inc Incarnation) possibleIDs() []string {
	ids := []string{string(inc)}
	if i := strings.LastIndexByte(string(inc), '@'); i >= 0 {
		ids = append(ids, string(inc[:i]))
	}
	return ids
}

// startedMS returns the start of an incarnation of the upstream with the given ID, 0 if it isn't reported. ok is false if
// the incarnation isn't one of that upstream.
func (inc Incarnation) startedMS(id string) (ms int64, ok bool) {
	if string(inc) == id {
		return 0, true
	}
	started, ok := strings.CutPrefix(string(inc), id+"@")
	if !ok {
		return 0, false
	}
	ms, err := strconv.ParseInt(started, 10, 64)
	return ms, err == nil
}

// Changing reports whether the upstream is changing its role or about to.
func (u *Upstream) Changing() bool { return u.NextRole != "" && u.NextRole != u.Role }

// ChangeKind says what happened to an entry.
type ChangeKind int

// Kinds of changes.
const (
	Listed     ChangeKind = iota // the entry is new or changed
	Unlisted                     // the entry was removed
	Unreadable                   // the entry has an invalid field
)

// Change is a change of the platform's list. Changes are applied in order: an ID may be removed
// and added again within one update.
type Change struct {
	Kind     ChangeKind
	ID       string
	Upstream Upstream // set if Listed
	Reason   string   // set if Unreadable: the invalid field
}
