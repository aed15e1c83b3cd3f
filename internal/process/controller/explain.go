package controller

import (
	"strings"
	"sync"
	"time"
)

// explainKept bounds the decisions kept.
const explainKept = 2048

// decision is one line about a subject: an order id, a runner, a zone's lease or a
// decision of the role policy.
type decision struct {
	at      time.Time
	subject string
	line    string
}

// explainRing keeps the last decisions, the refused ones included.
type explainRing struct {
	mu   sync.Mutex
	ring []decision
	next int
	last map[string]string // newest line of each subject, so that a held change is noted once
}

func newExplainRing() *explainRing {
	return &explainRing{last: map[string]string{}}
}

// add notes a line unless it is the subject's newest already.
func (r *explainRing) add(subject, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last[subject] == line {
		return
	}
	r.last[subject] = line
	r.put(subject, line)
}

// note notes a line of several about one subject.
func (r *explainRing) note(subject, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(subject, line)
}

func (r *explainRing) put(subject, line string) {
	d := decision{at: time.Now(), subject: subject, line: line}
	if len(r.ring) < explainKept {
		r.ring = append(r.ring, d)
		return
	}
	old := r.ring[r.next].subject
	r.ring[r.next] = d
	r.next = (r.next + 1) % explainKept
	if !r.holds(old) {
		delete(r.last, old)
	}
}

func (r *explainRing) holds(subject string) bool {
	for i := range r.ring {
		if r.ring[i].subject == subject {
			return true
		}
	}
	return false
}

// lines gives what is known about a change, oldest first. An order id belongs to
// its runner, so the runner's name finds its orders too.
func (r *explainRing) lines(change string) []string {
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
