package entry

import (
	"sync"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

// crashTimes is in how many messages a crash is told, as datagrams are lost now and then.
const crashTimes = 3

// crashNews is what is still to be told of crashes. An instance tells what it found to those
// that give places, of all availability zones; each of these tells what it finds and hears
// to the instances of its own. So all know, by two messages each.
type crashNews struct {
	mu   sync.Mutex
	list []crashNewsItem
}

type crashNewsItem struct {
	crash quarantine.Crash
	own   bool // found by this instance
	times int  // messages to come
}

func (n *crashNews) put(crashes []quarantine.Crash, own bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range crashes {
		n.list = append(n.list, crashNewsItem{crash: c, own: own, times: crashTimes})
	}
}

// take gives what the next messages tell: what this instance found, and all.
func (n *crashNews) take() (own, all []quarantine.Crash) {
	n.mu.Lock()
	defer n.mu.Unlock()
	rest := n.list[:0]
	for _, item := range n.list {
		all = append(all, item.crash)
		if item.own {
			own = append(own, item.crash)
		}
		if item.times--; item.times > 0 {
			rest = append(rest, item)
		}
	}
	n.list = rest
	return own, all
}

// tellCrashes tells what this instance found, at once.
func (s *sharing) tellCrashes(crashes []quarantine.Crash) {
	s.crashes.put(crashes, true)
	s.flushCrashes(time.Now())
}

// takeCrashes takes what another instance tells.
func (s *sharing) takeCrashes(now time.Time, from string, told []quarantine.Told) {
	if len(told) == 0 {
		return
	}
	heard, err := quarantine.Hear(now, told)
	if err != nil {
		logline.Info("crashes passed over", "from", from, "error", err)
		return
	}
	news := s.e.holds.Heard(now, heard)
	if len(news) > 0 && s.isPlacer() {
		s.crashes.put(news, false)
		s.flushCrashes(now)
	}
}

// flushCrashes sends what is to be told of crashes.
func (s *sharing) flushCrashes(now time.Time) {
	own, all := s.crashes.take()
	if len(all) == 0 {
		return
	}
	s.mu.Lock()
	placers, zone, placing := s.core.Placers(now), s.core.Zone(), s.core.Placing(now)
	s.mu.Unlock()
	s.sendCrashes(now, own, placers)
	if placing {
		s.sendCrashes(now, all, zone)
	}
}

// sendCrashes sends crashes, in as many messages as they need.
func (s *sharing) sendCrashes(now time.Time, crashes []quarantine.Crash, to []string) {
	for len(crashes) > 0 && len(to) > 0 {
		n := min(len(crashes), quarantine.MaxTold)
		s.send(peers.Message{Crashes: quarantine.Tell(now, crashes[:n])}, to...)
		crashes = crashes[n:]
	}
}
