package place

import (
	"math"
	"slices"
	"time"
)

// Weights of the parts of a cost. All are in units of the time that one request
// takes at an idle upstream of its service, so that they hold for any service.
const (
	// awayCost is what crossing to another availability zone is worth: it only
	// breaks ties between upstreams that are about equally loaded.
	awayCost = 0.15
	// fullCost is added for each request beyond the slots: it has to wait for another
	// one to end.
	fullCost = 2.0
	// coldCost is added for an upstream that is still slow after its start.
	coldCost = 1.0
	// slowCost is for an engine whose pace is just what the longest answers need to end
	// in time: those go where the pace is best, short answers where there is room.
	slowCost = 1.0
	// strangerCost is for decoding a prompt elsewhere than others with the same shared
	// parts, which engines can copy from each other while they are kept.
	strangerCost = 0.2
	// failCost is for an upstream all of whose recent requests failed, beyond the one
	// of its service that fails least: some kinds of request fail everywhere.
	failCost = 4.0
)

// readHereCrowd is what a full decoding engine is worth when one is chosen to read a
// prompt, in units of reading the request's own part.
const readHereCrowd = 2.0

// readHereShare is the part of the slots of a decoding engine up to which it may be
// given a long prompt to read: every step of its other requests then takes longer.
const readHereShare = 0.6

// cost of a request at an upstream.
func (l *load) cost(now time.Time, q *Query, home bool) float64 {
	total := l.total(now)
	c := 0.0
	switch q.Work {
	case Prefill:
		c = total + l.readingCost(now, &q.Prompt, home)
	case ReadHere:
		c = total/l.slots()*readHereCrowd + l.readingCost(now, &q.Prompt, home)
	default:
		if q.Prompt.Key != 0 && !home {
			c = strangerCost
		}
		c += (total + 1) / l.slots()
		if over := total + 1 - l.slots(); over > 0 {
			c += over / l.slots() * fullCost
		}
	}
	if q.Gap > 0 {
		c += slowCost * l.pace.current(now).Seconds() / q.Gap.Seconds()
	}
	if l.up.Zone != q.Zone {
		c += awayCost
	}
	if l.up.Cold > 0 {
		c += coldCost
	}
	// A deterministic tie break that differs between requests.
	return c + float64(rank(uint64(q.Arrived.UnixNano()), l.up.ID)%1000)*1e-6
}

// readingCost is the part of a prompt that has to be read, in units of a request's
// own part: what the upstream is believed to keep is not read again.
func (l *load) readingCost(now time.Time, p *Prompt, home bool) float64 {
	if home || p.Key == 0 {
		return 1
	}
	missing := 0
	for i := range p.Parts {
		if !l.cached.has(now, p.Parts[i].ID) {
			missing += p.Parts[i].Tokens
		}
	}
	return 1 + float64(missing)/float64(max(p.Own, minOwnTokens))
}

// minOwnTokens keeps the ratio of shared to own tokens within bounds.
const minOwnTokens = 64

// queueShare is the part of the slots that may wait at an upstream before it
// counts as full: one that ends then finds the next request already there. A
// longer queue at the upstream would only take away the choice of the next one.
// None may wait at an engine that decodes: long answers hold its slots for seconds.
const queueShare = 0.25

// full reports whether a further request would only wait at the upstream, or as a
// prefill wait there for too long.
func (l *load) full(now time.Time, q *Query) bool {
	switch q.Work {
	case ReadHere:
		return l.total(now)+1 > l.slots()*readHereShare || l.strained(now)
	case Decode, Reserve:
		return l.total(now)+1 > l.slots()
	}
	if l.total(now)+1 > l.slots()+math.Ceil(l.slots()*queueShare) {
		return true
	}
	if q.Work != Prefill {
		return false
	}
	return l.total(now) >= 1 && now.Add(l.prefillWait(now)).After(q.StartBy)
}

// strainedShare is the part of the pace that a long answer needs at which its engine
// takes no prompts to read: each of them makes every step several times as long.
const strainedShare = 0.6

// strained reports whether long answers of this process at an engine are close to
// ending too late at its present pace.
func (l *load) strained(now time.Time) bool {
	if len(l.needs) == 0 {
		return false
	}
	return float64(l.pace.current(now)) > strainedShare*float64(slices.Min(l.needs))
}

// prefillWait is how long the prompts at an upstream take. They are read one after
// the other.
func (l *load) prefillWait(now time.Time) time.Duration {
	return time.Duration(l.total(now) * float64(l.perRequest))
}
