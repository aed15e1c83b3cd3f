package entry

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

// broadcastCrashes sends crashes that this instance found, at once.
func (s *peerExchange) broadcastCrashes(crashes []quarantine.Crash) {
	s.crashes.add(true, crashes...)
	s.flushCrashes(time.Now())
}

// handleCrashes merges the crashes that another instance reports. A placer passes on those that it
// didn't know yet. Reports that can't be decoded are logged and dropped.
func (s *peerExchange) handleCrashes(now time.Time, from string, reports []quarantine.CrashReport) {
	if len(reports) == 0 {
		return
	}
	crashes, err := quarantine.DecodeCrashes(now, reports)
	if err != nil {
		logline.Info("crashes passed over", "from", from, "error", err)
		return
	}
	unknown := s.e.holds.MergeCrashes(now, crashes)
	if len(unknown) > 0 && s.isPlacer() {
		s.crashes.add(false, unknown...)
		s.flushCrashes(now)
	}
}

// flushCrashes sends the crashes that are due: this instance's own ones to the placers, and all of
// them to its availability zone if it is a placer.
func (s *peerExchange) flushCrashes(now time.Time) {
	own, all := s.crashes.next()
	if len(all) == 0 {
		return
	}
	s.mu.Lock()
	placers, zone, placing := s.core.Placers(now), s.core.ZoneAddresses(), s.core.ActsAsPlacer(now)
	s.mu.Unlock()
	s.sendCrashes(now, own, placers)
	if placing {
		s.sendCrashes(now, all, zone)
	}
}

// sendCrashes sends crashes, in as many messages as needed.
func (s *peerExchange) sendCrashes(now time.Time, crashes []quarantine.Crash, to []string) {
	for len(crashes) > 0 && len(to) > 0 {
		n := min(len(crashes), quarantine.MaxCrashReports)
		parts, work := partition(crashes[:n], func(c quarantine.Crash) bool { return c.Content.IsPart() })
		s.send(peers.Message{Crashes: quarantine.EncodeCrashes(now, work), PartCrashes: quarantine.EncodeCrashes(now, parts)}, to...)
		crashes = crashes[n:]
	}
}

// partition returns the elements of a list for which f is true, and the others.
func partition[T any](list []T, f func(T) bool) (yes, no []T) {
	for _, v := range list {
		if f(v) {
			yes = append(yes, v)
		} else {
			no = append(no, v)
		}
	}
	return yes, no
}
