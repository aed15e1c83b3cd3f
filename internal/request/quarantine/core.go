package quarantine

import (
	"slices"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/mapentry"
)

const (
	// crashesToHold is the number of independent crashes after which work is held for the first time.
	// It is small because every crash ends other requests too, and because the work may be sent
	// again until all instances know of the crashes.
	crashesToHold = 2
	// maxEndDelay is the maximum time from a broken send until the end of its upstream is noticed;
	// a later end doesn't count as a crash. The end may be noticed late because the entry of an
	// upstream that stops reporting expires only after several heartbeats, and the list of upstreams
	// may be out of date.
	maxEndDelay = 10 * time.Second
	// crashRetention is how long a crash counts. It is also how long a hold is remembered after it has ended:
	// another hold of the same work in that time begins after a single crash and is longer. Callers retry the
	// same work within seconds to minutes, scheduled jobs within an hour.
	crashRetention = time.Hour
	// maxCrashes is the maximum number of crashes that are kept for one Content; the oldest are dropped.
	// In a power loss hundreds of upstreams end at once. That says no more about the work than the end of
	// a few of them.
	maxCrashes = 16
	// livenessConnPeriod begins when a send of some work breaks off. During it, further sends of the work need a
	// liveness: an extra connection to the upstream that shows whether the upstream's process ends (see
	// NeedsLivenessConn).
	livenessConnPeriod = 2 * time.Minute
	// maxSuspects is the maximum number of suspects, which take some hundred bytes each, and of
	// entries in Core.lastBroken.
	maxSuspects = 4096
	// maxPendingSends is the maximum number of broken sends that are kept for one upstream. No upstream
	// has that many requests of one instance in flight.
	maxPendingSends = 1024
)

// brokenSend is a send that broke off. It isn't known yet whether its upstream has ended.
type brokenSend struct {
	content    Content
	sent, at   time.Time // when the work was sent, and when the send broke off
	answeredAt time.Time // when the upstream, or a later incarnation of it, first answered a later request; zero: not yet
}

// pendingSends holds the broken sends of one upstream that count as crashes if the upstream ends.
type pendingSends struct {
	sends    []brokenSend // in the order in which they broke off
	checking bool         // a check whether the upstream has ended is in progress
}

// ending is what is known of the end of an upstream's process.
type ending struct {
	at   time.Time // when it was noticed
	next restart   // the process that replaced it; the zero value: not known
}

// restart is the start of a process under the name of an earlier one.
type restart struct {
	incarnation Incarnation
	at          time.Time // start of the process, by its own clock
}

// known reports whether a later process is known.
func (r restart) known() bool { return r.incarnation != "" }

// suspect is the state of work that has crashed upstreams or was held.
type suspect struct {
	crashes       []*Crash
	updatedAt     time.Time // when a crash of the work was last reported or its hold was last read or stored
	hold          Hold      // the current or last hold
	suspended     bool      // hold isn't in force here, as a likelier cause of its crashes is held (see explainCrashes)
	previous      Hold      // the hold before that one
	fromCrashes   bool      // hold was begun here because of crashes; false: there is none, or it was read from the platform
	stored        bool      // hold is known to be stored on the platform
	storedAt      time.Time // when stored was last confirmed
	record        recordState
	brokenSends   int // of a part: requests with it that broke off here while it was a suspect
	brokenBefore  int // of a part: Core.brokenSends when it became a suspect
	answersBefore int // of a part: Core.answers at the first of its crashes that count
}

// Core tracks crashes and holds. It is not safe for concurrent use.
type Core struct {
	suspects    map[Content]*suspect
	lastBroken  map[Content]time.Time         // when a send of the work last broke off
	pending     map[Incarnation]*pendingSends // broken sends at upstreams that may have ended
	ended       map[Incarnation]ending        // upstreams that have ended
	newHolds    []Content                     // holds that began, or are in force again, since the last call of TakeNewHolds
	suspensions []Content                     // holds that were suspended since the last call of TakeSuspensions
	answeredAt  map[Content]time.Time         // when a request with a part was last answered completely
	answers     int                           // requests answered completely
	brokenSends int                           // requests with parts that broke off here
	explainDue  bool                          // see explainCrashes
	exonerated  []Content                     // parts that explain nothing any more of what they explained before (see exonerate)
	unwanted    []Content                     // work whose record became unwanted since the last call of TakeUnwantedRecords
}

// New returns a core without suspects.
func New() *Core {
	return &Core{
		suspects:   make(map[Content]*suspect),
		lastBroken: make(map[Content]time.Time),
		pending:    make(map[Incarnation]*pendingSends),
		ended:      make(map[Incarnation]ending),
		answeredAt: make(map[Content]time.Time),
	}
}

// HasSuspects reports whether there is any suspect or any work that needs a liveness connection. If
// not, callers needn't compute the Content of requests.
func (c *Core) HasSuspects() bool { return len(c.suspects)+len(c.lastBroken) > 0 }

// NeedsLivenessConn reports whether a send of some work broke off recently or the work is a suspect. Its next send
// then needs a liveness connection: a connection without requests that is opened before the send.
// It shows reliably whether the upstream's process ends, since that closes all of its connections.
func (c *Core) NeedsLivenessConn(now time.Time, content Content) bool {
	s, suspected := c.suspects[content]
	at, recent := c.lastBroken[content]
	return suspected && !s.onlyLifted() || recent && now.Sub(at) < livenessConnPeriod
}

// Suspected reports whether some work has crashes that count against it.
func (c *Core) Suspected(content Content) bool {
	s, ok := c.suspects[content]
	return ok && slices.ContainsFunc(s.crashes, (*Crash).counts)
}

// SendBroken records a send that broke off before its answer was complete. If the end of the upstream is
// already known, the send counts as a crash at once, and is returned if it is new. If check is true, the
// caller has to check whether the upstream has ended, and then call UpstreamEnded or Checked.
func (c *Core) SendBroken(now time.Time, content Content, incarnation Incarnation, sent time.Time) (newCrashes []Crash, check bool) {
	return c.SendWithPartsBroken(now, content, nil, incarnation, sent)
}

// SendWithPartsBroken is SendBroken for a request whose prompt has the given parts.
func (c *Core) SendWithPartsBroken(now time.Time, content Content, parts []Content, incarnation Incarnation, sent time.Time) (newCrashes []Crash, check bool) {
	c.recordBrokenSend(now, content)
	broken := []brokenSend{{content: content, sent: sent, at: now}}
	if len(parts) > 0 {
		c.brokenSends++
	}
	for _, part := range parts {
		if s, ok := c.suspects[part]; ok {
			s.brokenSends++
		}
		broken = append(broken, brokenSend{content: part, sent: sent, at: now})
	}
	incarnation = c.receiver(incarnation, sent)
	if newCrashes, ended := c.addBrokenSends(now, incarnation, broken); ended {
		return newCrashes, false
	}
	pending := c.pending[incarnation]
	check = !pending.checking
	pending.checking = true
	return nil, check
}

// addBrokenSends records broken sends that were sent at the same time as crashes, if their upstream is known to have ended
// since, and otherwise as pending.
func (c *Core) addBrokenSends(now time.Time, incarnation Incarnation, broken []brokenSend) (newCrashes []Crash, ended bool) {
	if end, known := c.ended[incarnation]; known && !broken[0].sent.After(end.at) {
		return c.recordCrashes(now, incarnation, broken), true
	}
	pending := mapentry.GetOrCreate(c.pending, incarnation, mapentry.Zero[pendingSends])
	if len(pending.sends) < maxPendingSends {
		pending.sends = append(pending.sends, broken...)
	}
	return nil, false
}

// receiver returns the incarnation that got a send to the given one: a later one, if that had started by then and the
// list of upstreams was late.
func (c *Core) receiver(incarnation Incarnation, sent time.Time) Incarnation {
	for {
		end, ended := c.ended[incarnation]
		if !ended || !end.next.known() || sent.Before(end.next.at) {
			return incarnation
		}
		incarnation = end.next.incarnation
	}
}

// recordBrokenSend records the time of a broken send for NeedsLivenessConn, unless there are maxSuspects recent
// ones already.
func (c *Core) recordBrokenSend(now time.Time, content Content) {
	if _, known := c.lastBroken[content]; !known && len(c.lastBroken) >= maxSuspects {
		c.forgetBrokenSends(now)
	}
	if len(c.lastBroken) < maxSuspects {
		c.lastBroken[content] = now
	}
}

// forgetBrokenSends drops broken sends that are older than livenessConnPeriod.
func (c *Core) forgetBrokenSends(now time.Time) {
	for content, at := range c.lastBroken {
		if now.Sub(at) >= livenessConnPeriod {
			delete(c.lastBroken, content)
		}
	}
}

// CheckWanted reports whether the caller has to check whether an upstream has ended: sends broke off there, and no check is
// in progress.
func (c *Core) CheckWanted(incarnation Incarnation) bool {
	pending, ok := c.pending[incarnation]
	if !ok || pending.checking {
		return false
	}
	pending.checking = true
	return true
}

// Checked records that a check that began at the given time did not find that the upstream has ended. It
// returns true if sends broke off there since then, so that the caller has to check again.
func (c *Core) Checked(incarnation Incarnation, began time.Time) (again bool) {
	pending, ok := c.pending[incarnation]
	if !ok {
		return false
	}
	pending.checking = pending.sends[len(pending.sends)-1].at.After(began)
	return pending.checking
}

// UpstreamEnded records that the process of an upstream ended other than by a planned stop. It
// returns the crashes that are new.
func (c *Core) UpstreamEnded(now time.Time, incarnation Incarnation) []Crash {
	if c.ended[incarnation].next.known() {
		return nil
	}
	return c.endUpstream(now, incarnation, restart{})
}

// UpstreamRestarted records that the process of an upstream ended other than by a planned stop, as a later one, the
// incarnation next, started at the given time by its own clock. Sends that broke off before an answer of the earlier
// process didn't crash it, and those that were sent after the start of the later one broke off there. UpstreamRestarted
// returns the crashes that are new.
func (c *Core) UpstreamRestarted(now time.Time, incarnation, next Incarnation, startedAt time.Time) []Crash {
	return c.endUpstream(now, incarnation, restart{incarnation: next, at: startedAt})
}

// endUpstream records the end of an upstream, and the process that replaced it if it is known.
func (c *Core) endUpstream(now time.Time, incarnation Incarnation, next restart) []Crash {
	c.ended[incarnation] = ending{at: now, next: next}
	pending := c.pending[incarnation]
	delete(c.pending, incarnation)
	if pending == nil {
		return nil
	}
	var crashed []brokenSend
	var newCrashes []Crash
	for _, b := range pending.sends {
		switch {
		case next.known() && !b.sent.Before(next.at):
			moved, _ := c.addBrokenSends(now, next.incarnation, []brokenSend{{content: b.content, sent: b.sent, at: b.at}})
			newCrashes = append(newCrashes, moved...)
		case b.answeredAt.IsZero() || next.known() && !b.answeredAt.Before(next.at):
			crashed = append(crashed, b)
		}
	}
	return append(newCrashes, c.recordCrashes(now, incarnation, newestPerContent(crashed))...)
}

// newestPerContent returns the newest send of each Content: the end of an upstream counts as one crash per Content,
// however many sends broke off.
func newestPerContent(sends []brokenSend) []brokenSend {
	var out []brokenSend
	seen := make(map[Content]bool)
	for _, b := range slices.Backward(sends) {
		if !seen[b.content] {
			seen[b.content] = true
			out = append(out, b)
		}
	}
	return out
}

// UpstreamStopped records a planned stop of an upstream. Sends that broke off there don't count against
// their work.
func (c *Core) UpstreamStopped(now time.Time, incarnation Incarnation) {
	if pending := c.pending[incarnation]; pending != nil {
		for _, b := range pending.sends {
			delete(c.lastBroken, b.content)
		}
	}
	c.UpstreamAlive(incarnation, now)
}

// UpstreamAlive records that an upstream answered a request that was sent at the given time, or was found
// alive then. If all pending sends of the upstream broke off before that time, none of them was a crash,
// and they are dropped. If the end of the upstream was noticed before that time, a new process has the
// same name, and that end is forgotten.
func (c *Core) UpstreamAlive(incarnation Incarnation, sent time.Time) {
	if pending := c.pending[incarnation]; pending != nil && pending.sends[len(pending.sends)-1].at.Before(sent) {
		delete(c.pending, incarnation)
	}
	c.forgetEnd(incarnation, sent)
}

// UpstreamAnswered records that an upstream answered a request that was sent at the given time, if a later incarnation of
// it may have done so: the list of upstreams may be late. What the answer says of pending sends that broke off before is
// known once that incarnation is (see UpstreamRestarted).
func (c *Core) UpstreamAnswered(now time.Time, incarnation Incarnation, sent time.Time) {
	if pending := c.pending[incarnation]; pending != nil {
		for i := range pending.sends {
			if b := &pending.sends[i]; b.answeredAt.IsZero() && b.at.Before(sent) {
				b.answeredAt = now
			}
		}
	}
	c.forgetEnd(incarnation, sent)
}

// forgetEnd drops the end of an upstream that was noticed before a request was sent that was answered under the same
// name, unless the process that answered is known.
func (c *Core) forgetEnd(incarnation Incarnation, sent time.Time) {
	if end, ok := c.ended[incarnation]; ok && !end.next.known() && end.at.Before(sent) {
		delete(c.ended, incarnation)
	}
}

// UpstreamsToCheck returns the upstreams at which sends broke off and that may have ended.
func (c *Core) UpstreamsToCheck() []Incarnation {
	out := make([]Incarnation, 0, len(c.pending))
	for incarnation := range c.pending {
		out = append(out, incarnation)
	}
	return out
}

// recordCrashes records broken sends at an upstream that ended as crashes, except those that broke off
// maxEndDelay or longer ago. It returns the crashes that are new.
func (c *Core) recordCrashes(now time.Time, incarnation Incarnation, broken []brokenSend) []Crash {
	var newCrashes []Crash
	for _, b := range broken {
		crash := Crash{Content: b.content, Upstream: HashOf(incarnation), Sent: b.sent, At: b.at, local: true}
		if now.Sub(b.at) < maxEndDelay && c.addCrash(now, crash) {
			newCrashes = append(newCrashes, crash)
		}
	}
	c.explainCrashes(now)
	return newCrashes
}

// MergeCrashes records the crashes that another instance reported. It returns those that are new here and those
// that were not yet known here to be void (see Crash.Void).
func (c *Core) MergeCrashes(now time.Time, crashes []Crash) []Crash {
	var newCrashes []Crash
	for _, crash := range crashes {
		if c.addCrash(now, crash) {
			newCrashes = append(newCrashes, crash)
		}
	}
	c.explainCrashes(now)
	return newCrashes
}

// addCrash records a crash and updates the hold of its work. Its result is that of mergeCrash, but false for a
// crash that is too old to count.
func (c *Core) addCrash(now time.Time, crash Crash) bool {
	if now.Sub(crash.At) >= crashRetention {
		return false
	}
	s := c.suspectFor(now, crash.Content)
	if !slices.ContainsFunc(s.crashes, (*Crash).counts) {
		s.answersBefore = c.answers
	}
	isNew := s.mergeCrash(&crash)
	if isNew && crash.Void {
		c.exonerate(crash.Content)
	}
	c.updateHold(now, crash.Content, s)
	c.explainDue = c.explainDue || isNew
	return isNew
}

// mergeCrash adds a crash, or merges the report into the entry of the crash if it is already known. It reports
// whether that changed what is known: the crash is new, or this report is the first one that marks it as void
// (see Crash.Void).
func (s *suspect) mergeCrash(crash *Crash) bool {
	i := slices.IndexFunc(s.crashes, crash.sameCrash)
	if i >= 0 {
		old := s.crashes[i]
		wasVoid := old.Void
		old.merge(crash)
		return old.Void != wasVoid
	}
	s.crashes = append(s.crashes, crash)
	if len(s.crashes) > maxCrashes {
		oldest := slices.MinFunc(s.crashes, func(a, b *Crash) int { return a.At.Compare(b.At) })
		s.crashes = slices.DeleteFunc(s.crashes, func(c *Crash) bool { return c == oldest })
	}
	return true
}

// suspectFor returns the suspect for some work and sets its updatedAt. It creates the suspect if there is none.
// If there are already maxSuspects, it drops another one first.
func (c *Core) suspectFor(now time.Time, content Content) *suspect {
	if len(c.suspects) >= maxSuspects && c.suspects[content] == nil {
		c.dropOldest(now)
	}
	s := mapentry.GetOrCreate(c.suspects, content, func() *suspect { return &suspect{brokenBefore: c.brokenSends} })
	s.updatedAt = now
	return s
}

// dropOldest removes the suspect that was updated least recently and is not held.
func (c *Core) dropOldest(now time.Time) {
	var oldest Content
	var at time.Time
	for content, s := range c.suspects {
		if !s.hold.activeAt(now) && (at.IsZero() || s.updatedAt.Before(at)) {
			oldest, at = content, s.updatedAt
		}
	}
	delete(c.suspects, oldest)
}

// Succeeded records that some work was answered completely. It returns the crashes that are void as a
// result, including those that are known only from the record of a hold in force; lifted is true if the work
// was held. Its record on the platform is then unwanted, whichever instance wrote it (see RecordToRemove).
func (c *Core) Succeeded(now time.Time, content Content) (voided []Crash, lifted bool) {
	delete(c.lastBroken, content)
	s, ok := c.suspects[content]
	if !ok {
		return nil, false
	}
	if lifted = s.hold.activeAt(now); lifted {
		s.addCauses()
	}
	for _, crash := range s.crashes {
		if !crash.Void {
			crash.Void = true
			voided = append(voided, *crash)
		}
	}
	if lifted {
		c.markUnwanted(now, content, s, 0, s.hold.Until)
		c.cancelHold(now, content, s)
	}
	if len(voided) > 0 {
		c.exonerate(content)
		c.explainCrashes(now)
	}
	return voided, lifted
}

// Forget drops state that is too old to count. It keeps suspects whose hold is stored on the platform, or whose
// record there has to be removed.
func (c *Core) Forget(now time.Time) {
	for content, s := range c.suspects {
		if !s.stored && !s.record.unwantedAt(now) && now.Sub(s.updatedAt) >= crashRetention && !now.Before(s.hold.Until.Add(crashRetention)) {
			delete(c.suspects, content)
		}
	}
	c.forgetBrokenSends(now)
	for incarnation, pending := range c.pending {
		if now.Sub(pending.sends[len(pending.sends)-1].at) >= maxEndDelay {
			delete(c.pending, incarnation)
		}
	}
	for incarnation, end := range c.ended {
		if now.Sub(end.at) >= maxEndDelay {
			delete(c.ended, incarnation)
		}
	}
}
