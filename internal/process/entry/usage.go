package entry

import (
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/process/usage"
)

const (
	// usageReportInterval is how often an instance reports the usage of its callers so far to other
	// instances. If the instance is killed, no more than the usage of one interval is lost.
	usageReportInterval = time.Second
	// usageActiveWindow is a few times usageReportInterval. An instance is expected to report its usage for
	// this long after its last message.
	usageActiveWindow = 4 * time.Second
)

// usageTracker counts the usage of this instance's callers, and sums up what all instances report. It is
// safe for concurrent use.
type usageTracker struct {
	windows usage.Windows
	late    time.Duration // how long after the end of a window its report is accepted

	mu      sync.Mutex
	counter *usage.Counter // of this instance's callers
	ledger  *usage.Ledger  // what instances report, this one included
}

func newUsageTracker(s settings.EntryUsage) *usageTracker {
	w := usage.Windows{Length: s.Window()}
	return &usageTracker{windows: w, late: s.MaxReportDelay(), counter: usage.NewCounter(w), ledger: usage.NewLedger(w)}
}

// wallClock returns the wall-clock time without a monotonic reading. Usage windows are defined in
// wall-clock time, which, unlike monotonic time, continues while a machine is suspended.
func wallClock() time.Time { return time.Now().Round(0) }

// recordStart counts a request of a client account that began to run at the time at.
func (t *usageTracker) recordStart(at time.Time, account string) {
	now := wallClock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter.RequestStarted(now, at.Round(0), account)
}

// stopCounting closes all windows, as this instance is stopping.
func (t *usageTracker) stopCounting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counter.End()
}

// parts returns what this instance reports for a window.
func (t *usageTracker) parts(window int64) []usage.Part {
	now := wallClock()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counter.Parts(now, window)
}

// merge adds what an instance reports to the ledger.
func (t *usageTracker) merge(from usage.Source, parts []usage.Part) {
	now := wallClock()
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range parts {
		t.ledger.Merge(now, from, &parts[i])
	}
}

// missing returns those of the instances, by address, whose usage of a window isn't completely known.
func (t *usageTracker) missing(window int64, addresses []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Missing(window, addresses)
}

// sources returns the number of instances that reported usage of a window.
func (t *usageTracker) sources(window int64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Sources(window)
}

// sum returns the usage of a window as far as it was reported.
func (t *usageTracker) sum(window int64) usage.Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Sum(window)
}

// countUsage counts the request, which began to run at the time at, as usage of its client account. Further
// calls for the same request do nothing.
func (q *request) countUsage(at time.Time) {
	if q.usageCounted || q.account == nil || q.e.usage == nil {
		return
	}
	q.usageCounted = true
	q.e.usage.recordStart(at, q.account.Name)
}

// usageReports is the state of the usage reports to other instances. It is used by peerExchange.run only.
type usageReports struct {
	sentAt       time.Time
	closedWindow int64 // last window that was reported as closed
}

// reportUsage sends the usage so far to the instances that may hold the lease, because the holder reports
// the usage of all instances to the platform. It sends the usage every usageReportInterval, and whenever a
// window has closed.
func (s *peerExchange) reportUsage(now time.Time) {
	tracker := s.e.usage
	if tracker == nil {
		return
	}
	closed := tracker.windows.At(wallClock().Add(-usage.CloseDelay)) - 1
	if now.Sub(s.usage.sentAt) < usageReportInterval && closed == s.usage.closedWindow {
		return
	}
	s.usage.sentAt, s.usage.closedWindow = now, closed
	s.sendAllUsage(closed)
}

// reportFinalUsage ends the count in a graceful shutdown. It sends the usage that the instances that may
// hold the lease may not know yet.
func (s *peerExchange) reportFinalUsage() {
	tracker := s.e.usage
	if tracker == nil {
		return
	}
	tracker.stopCounting()
	s.sendAllUsage(tracker.windows.At(wallClock().Add(-tracker.late)) - 1)
}

// sendAllUsage sends the usage of all windows, beginning with the window from, to the instances that may
// hold the lease.
func (s *peerExchange) sendAllUsage(from int64) {
	s.mu.Lock()
	to := s.core.Successors()
	s.mu.Unlock()
	tracker := s.e.usage
	for window := from; window <= tracker.windows.At(wallClock()); window++ {
		parts := tracker.parts(window)
		tracker.merge(usage.Source{Address: s.self.Address, Incarnation: s.incarnation}, parts)
		s.sendUsage(parts, to...)
	}
}

// sendUsage sends parts, each in a message of its own.
func (s *peerExchange) sendUsage(parts []usage.Part, to ...string) {
	for i := range parts {
		s.send(peers.Message{SenderIncarnation: s.incarnation, Usage: parts[i : i+1]}, to...)
	}
}

// handleUsage merges the usage that another instance reports, and sends that instance the usage that it
// asks for.
func (s *peerExchange) handleUsage(from string, m *peers.Message) {
	tracker := s.e.usage
	if tracker == nil {
		return
	}
	if len(m.Usage) > 0 {
		tracker.merge(usage.Source{Address: from, Incarnation: m.SenderIncarnation}, m.Usage)
	}
	for _, window := range m.UsageWanted {
		s.sendUsage(tracker.parts(window), from)
	}
}

// missingUsage returns the instances whose usage of a window isn't completely known. In the result, Live
// lists those that sent a message within usageActiveWindow, and Known lists all of them.
func (e *Entry) missingUsage(window int64) usage.Incomplete {
	if e.peers == nil {
		return usage.Incomplete{}
	}
	s, now := e.peers, time.Now()
	s.mu.Lock()
	live, known := s.core.ActiveWithin(now, usageActiveWindow), s.core.Addresses()
	s.mu.Unlock()
	return usage.Incomplete{Live: e.usage.missing(window, append(live, s.self.Address)), Known: e.usage.missing(window, known)}
}
