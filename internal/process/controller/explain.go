package controller

import (
	"strings"
	"sync"
	"time"
)

const maxExplainLines = 2048

// explainEntry is one line about a subject. A subject is the id of an order, the name
// of a runner, Lease/<zone>, Model/<name>, or the id of a decision of the role policy.
type explainEntry struct {
	at      time.Time
	subject string
	line    string
}

// explainLog keeps the latest lines about orders, leases and role decisions, including
// those that were refused, in a ring buffer. It is safe for concurrent use.
type explainLog struct {
	mu     sync.Mutex
	ring   []explainEntry
	next   int               // index of the oldest entry once the ring is full
	latest map[string]string // line that add last added for each subject in the ring
}

func newExplainLog() *explainLog {
	return &explainLog{latest: map[string]string{}}
}

// add adds a line unless it equals the one that add last added for the subject. Lines
// that are computed again in each reconcile interval would otherwise fill the ring.
func (r *explainLog) add(subject, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest[subject] == line {
		return
	}
	r.latest[subject] = line
	r.appendLocked(subject, line)
}

// addAlways adds a line even if it repeats an earlier one. It is used for explanations
// of several lines, which must be complete.
func (r *explainLog) addAlways(subject, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appendLocked(subject, line)
}

// appendLocked appends a line and overwrites the oldest one if the ring is full. The
// caller must hold mu.
func (r *explainLog) appendLocked(subject, line string) {
	d := explainEntry{at: time.Now(), subject: subject, line: line}
	if len(r.ring) < maxExplainLines {
		r.ring = append(r.ring, d)
		return
	}
	evicted := r.ring[r.next].subject
	r.ring[r.next] = d
	r.next = (r.next + 1) % maxExplainLines
	if !r.contains(evicted) {
		delete(r.latest, evicted)
	}
}

func (r *explainLog) contains(subject string) bool {
	for i := range r.ring {
		if r.ring[i].subject == subject {
			return true
		}
	}
	return false
}

// lines returns the lines whose subject is change or begins with change and a hyphen,
// oldest first. The id of an order begins with the name of its runner and a hyphen, so
// the name of a runner returns the lines about its orders too.
func (r *explainLog) lines(change string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for i := range r.ring {
		d := r.ring[(r.next+i)%len(r.ring)]
		if d.subject == change || strings.HasPrefix(d.subject, change+"-") {
			out = append(out, d.at.UTC().Format(time.RFC3339Nano)+" "+d.subject+" "+d.line)
		}
	}
	return out
}
