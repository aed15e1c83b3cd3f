package entry

import (
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

const (
	// endChecks is how often an upstream at which a send broke off is asked for a connection,
	// with endCheckPause in between: a process that ends closes its port at about the
	// time of its connections. One that is found later is found by the list.
	endChecks     = 2
	endCheckPause = 100 * time.Millisecond
)

// withCrashes runs f over what is known of crashes.
func (s *state) withCrashes(f func(c *quarantine.Core)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.crashes)
}

// suspects reports whether any work is suspected of crashing upstreams.
func (s *state) suspects() (any bool) {
	s.withCrashes(func(c *quarantine.Core) { any = c.Suspects() })
	return any
}

// brokeOff notes a send that broke off. An upstream that leaves ends what it has as
// planned, so that is no crash.
func (s *state) brokeOff(now time.Time, content quarantine.Content, life fleet.LifeID, sent time.Time) (news []quarantine.Crash, check bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if listed, leaving := s.fleet.Has(life); !listed || leaving {
		return nil, false
	}
	return s.crashes.Broke(now, content, life, sent)
}

// answered notes that an upstream began to answer what was sent to it.
func (s *state) answered(life fleet.LifeID, sent time.Time) {
	s.withCrashes(func(c *quarantine.Core) { c.Lives(life, sent) })
}

// endedUnlisted gives the crashes at upstreams that are listed no more.
func (s *state) endedUnlisted(now time.Time) (news []quarantine.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, life := range s.crashes.Waiting() {
		switch listed, leaving := s.fleet.Has(life); {
		case leaving:
			s.crashes.Lives(life, now)
		case !listed:
			news = append(news, s.crashes.Ended(now, life)...)
		}
	}
	return news
}

// checkEnd finds out whether the process of an upstream has ended.
func (e *Entry) checkEnd(u fleet.Upstream) {
	for range endChecks {
		if err := upstream.Reach(e.work, u.Address, upstreamDialTimeout); refusedConnection(err) {
			e.upstreamEnded(u.Life())
			return
		}
		if platform.Sleep(e.work, endCheckPause) != nil {
			return
		}
	}
}

// refusedConnection reports whether nothing listens at an address.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// upstreamEnded takes the end of an upstream whose address refuses connections.
func (e *Entry) upstreamEnded(life fleet.LifeID) {
	var news []quarantine.Crash
	e.state.withCrashes(func(c *quarantine.Core) { news = c.Ended(time.Now(), life) })
	e.crashed(news, life, "connection refused")
}

// upstreamsUnlisted looks for crashes after a change of the list.
func (e *Entry) upstreamsUnlisted() {
	e.crashed(e.state.endedUnlisted(time.Now()), "", "not listed any more")
}

// crashed writes down the crashes that this process found, and lets others know. life is the
// upstream that crashed; empty: one or more that the list tells.
func (e *Entry) crashed(news []quarantine.Crash, life fleet.LifeID, why string) {
	if len(news) == 0 {
		return
	}
	now := time.Now()
	e.meters.crashes.Inc(int64(len(news)))
	for i := range news {
		c := &news[i]
		logline.Info("upstream crashed", "upstream", life, "key", c.Upstream, "content", c.Content,
			"sent_ms", now.Sub(c.Sent).Milliseconds(), "broke_off_ms", now.Sub(c.At).Milliseconds(), "why", why)
	}
	e.tellCrashes(news)
	e.holdsBegun(true)
}

// tellCrashes lets other instances know.
func (e *Entry) tellCrashes(news []quarantine.Crash) {
	if e.shared != nil {
		e.shared.tellCrashes(news)
	}
}

// hearCrashes takes what another instance tells, and gives what is news.
func (e *Entry) hearCrashes(now time.Time, told []quarantine.Crash) []quarantine.Crash {
	var news []quarantine.Crash
	e.state.withCrashes(func(c *quarantine.Core) { news = c.Heard(now, told) })
	if len(news) > 0 {
		e.holdsBegun(false)
	}
	return news
}
