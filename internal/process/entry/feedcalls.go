package entry

import "time"

// feedCalls decides the calls of a feed by the outcomes of those before. It does no I/O.
//
// The platform may cut off a waiting watch at any time, so that a failed call alone says nothing about the platform. The
// call is repeated once, and a watch then without waiting, as only a waiting one is cut off. The platform counts as lost
// when the repeated call fails, too.
//
// The pauses before further calls grow. In an outage they may become long, as its end is noticed by probes, which are
// cheaper. Otherwise nothing ends the pause of a feed that is listed, and a change has to be read in time all the same.
type feedCalls struct {
	listedPause time.Duration // longest pause without an outage after the list was read

	listed   bool          // the list was read; watches follow
	failures int           // number of failed calls since the last answered one
	brief    bool          // a call failed since the last answered watch
	pause    time.Duration // before the last repetition, without jitter; 0: there was none
}

// wait returns how long the next watch is to wait for changes.
func (c *feedCalls) wait() time.Duration {
	switch {
	case c.failures == 1:
		return 0
	case c.brief:
		return watchTimeoutAfterFailure
	}
	return watchTimeout
}

// answered records an answered call.
func (c *feedCalls) answered() {
	if c.listed { // a list doesn't end the time after a failure, the next watch does
		c.brief = false
	}
	c.listed, c.failures, c.pause = true, 0, 0
}

// canceled records a call that was canceled because it may never be answered. The next one follows at once.
func (c *feedCalls) canceled() { c.brief, c.pause = true, 0 }

// historyGone records that the platform has no history since the last answer, so that the feed has to be listed again.
func (c *feedCalls) historyGone() { c.listed, c.failures, c.brief = false, 0, true }

// failed records a failed call. outage: the platform has an outage. It returns the pause before the next call, without
// jitter, and whether the platform counts as lost.
func (c *feedCalls) failed(outage bool) (pause time.Duration, lost bool) {
	c.failures++
	c.brief = true
	longest := maxRetryPause
	if c.listed && !outage {
		longest = c.listedPause
	}
	c.pause = min(max(retryPauseGrowth*c.pause, minRetryPause), longest)
	return c.pause, c.failures > 1
}
