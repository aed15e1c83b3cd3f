package fleet

import (
	"maps"
	"slices"
	"time"
)

const (
	// leavingReportTTL is how long the report that an incarnation is leaving is kept while the
	// incarnation is not listed. Leaving upstreams don't continue to serve for that long, and the
	// list is never out of date for that long.
	leavingReportTTL = 10 * time.Minute
	// maxLeavingReports bounds the reports that are kept.
	maxLeavingReports = 4096
	// sweepInterval is the minimum interval between two sweeps of expired reports.
	sweepInterval = time.Second
)

// leavingReport is a report that an incarnation is leaving.
type leavingReport struct {
	at   time.Time // when it was last reported
	sent time.Time // when the request was sent whose response reported it; zero: not known
}

// MarkLeaving records that a response of an upstream reported that the upstream is leaving. sent is when its request was
// sent, zero if that isn't known. The report overrides the list. isNew is true if it wasn't known before that the
// incarnation is leaving. For an incarnation that was removed recently, MarkLeaving records nothing and returns false.
func (c *Core) MarkLeaving(now, sent time.Time, incarnation Incarnation) (isNew bool) {
	if gone, _ := c.RecentlyGone(incarnation); gone {
		return false // it gets no work, and its tombstone says whether it was leaving
	}
	_, alreadyLeaving := c.Listed(incarnation)
	c.addLeavingReport(incarnation, leavingReport{at: now, sent: sent})
	for _, id := range incarnation.possibleIDs() {
		if e, ok := c.entries[id]; ok && e.Incarnation() == incarnation && !e.Leaving {
			e.Leaving = true
			c.version++
		}
	}
	return !alreadyLeaving
}

// addLeavingReport keeps a report, in place of an earlier one of the same incarnation.
func (c *Core) addLeavingReport(incarnation Incarnation, report leavingReport) {
	old, recorded := c.reportedLeaving[incarnation]
	if !recorded && len(c.reportedLeaving) >= maxLeavingReports {
		c.evictOldestReports()
	}
	if old.sent.After(report.sent) {
		report.sent = old.sent
	}
	c.reportedLeaving[incarnation] = report
}

// inheritLeavingReport records that an incarnation that replaces the listed one is leaving, if that was reported at the
// same address in response to a request that was sent after the start of the new one: the list was late. At another
// address, both may run at the same time.
func (c *Core) inheritLeavingReport(next *Upstream) {
	old, ok := c.entries[next.ID]
	if !ok || next.StartedMS <= old.StartedMS || next.Address != old.Address {
		return
	}
	report, reported := c.reportedLeaving[old.Incarnation()]
	if reported && report.sent.UnixMilli() >= next.StartedMS {
		c.addLeavingReport(next.Incarnation(), report)
	}
}

// hasReportedLeaving reports whether a response of the incarnation reported that it is leaving.
func (c *Core) hasReportedLeaving(incarnation Incarnation) bool {
	_, ok := c.reportedLeaving[incarnation]
	return ok
}

// evictOldestReports removes the oldest quarter of the reports.
func (c *Core) evictOldestReports() {
	oldestFirst := slices.SortedFunc(maps.Keys(c.reportedLeaving), func(a, b Incarnation) int { return c.reportedLeaving[a].at.Compare(c.reportedLeaving[b].at) })
	for _, incarnation := range oldestFirst[:len(oldestFirst)/4] {
		delete(c.reportedLeaving, incarnation)
	}
}

// expireLeavingReports removes the reports of incarnations that aren't listed and whose last
// report is older than leavingReportTTL.
func (c *Core) expireLeavingReports(now time.Time) {
	if len(c.reportedLeaving) == 0 || now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	maps.DeleteFunc(c.reportedLeaving, func(incarnation Incarnation, report leavingReport) bool {
		listed, _ := c.Listed(incarnation)
		return !listed && now.Sub(report.at) >= leavingReportTTL
	})
}
