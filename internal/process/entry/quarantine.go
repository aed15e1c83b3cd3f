package entry

import (
	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

// errWorkHeld is the reason for not sending a request although it has a place at an upstream: a hold on
// its work began after the place was requested. A hold is a period in which no instance sends requests
// for a certain piece of work, because upstreams crashed while they did it (see newHolds).
var errWorkHeld = errors.New("upstreams crashed under the same work")

// maxCountedParts limits the parts of one request that crashes are counted for. Callers may declare thousands.
const maxCountedParts = 16

// sharedPartIDs returns the ids of the parts of the prompt that other requests may share, or the last maxCountedParts of
// them: a prompt begins with the most common parts.
func (q *request) sharedPartIDs() []string {
	_, shared, _ := q.info.SharedParts()
	shared = shared[max(0, len(shared)-maxCountedParts):]
	ids := make([]string, len(shared))
	for i, p := range shared {
		ids[i] = p.ID
	}
	return ids
}

// partContents returns the contents of the shared parts of the prompt, by which crashes are counted.
func (q *request) partContents() []quarantine.Content {
	if q.partKeys == nil {
		ids := q.sharedPartIDs()
		q.partKeys = make([]quarantine.Content, len(ids))
		for i, id := range ids {
			q.partKeys[i] = quarantine.PartContent(id)
		}
	}
	return q.partKeys
}

// workHeld reports whether a hold on the request's work, or on a part of its prompt, is in force. While no work is
// suspected of crashing upstreams, this is false without computing the hash of the request (see content).
func (q *request) workHeld() bool {
	return q.e.holds.HasSuspects() && q.e.holds.Held(q.content(), q.partContents()...)
}

// holdRefusal returns the error with which a request is refused if a hold on its work, or on a part of its prompt, is in
// force. Otherwise it returns nil.
func (q *request) holdRefusal() *errkind.Error {
	if !q.e.holds.HasSuspects() {
		return nil
	}
	return q.e.holds.Refusal(q.content(), q.partContents()...)
}

// clearSuspicion records that the request got a complete response, so neither its work nor the parts of its prompt
// crashed the upstream.
func (q *request) clearSuspicion() {
	parts := q.partContents()
	if q.work() == place.Decode {
		q.e.holds.PartsAnswered(parts)
	}
	if !q.e.holds.HasSuspects() {
		return
	}
	q.e.holds.Succeeded(q.content())
	for _, part := range parts {
		q.e.holds.Succeeded(part)
	}
}
