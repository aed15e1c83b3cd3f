package fleet

import "time"

// outageWitness decides by the calls to the platform's store whether it had an outage in which entries may have lapsed.
//
// An entry lapses when its upstream hasn't written it for three heartbeats, so that the store must have answered nothing
// for a heartbeat at least. Any answer shows that it was up at some time between the call and the answer. A failed call
// shows little: the store may have refused this call only, or the process may have been slow. So an outage takes both a
// failed probe, and no call that was answered for a heartbeat. The time between two answered calls is never shorter than an
// outage between them, however late this process makes its calls or reads the answers.
type outageWitness struct {
	heartbeat   time.Duration // interval at which upstreams write their entries; 0: each failed probe counts as an outage
	answeredAt  time.Time     // when the last of the answered calls was sent; zero: none was answered yet
	probeFailed bool          // since then
}

// answered records a call that was sent at a time and is answered now. It returns for how long no call was answered before
// that, and whether that was an outage in which entries may have lapsed.
func (o *outageWitness) answered(sent, now time.Time) (silence time.Duration, lapsed bool) {
	silence, lapsed = o.silence(now), o.mayLapse(now)
	o.probeFailed = false
	if sent.After(o.answeredAt) {
		o.answeredAt = sent
	}
	return silence, lapsed
}

// failed records a failed probe.
func (o *outageWitness) failed(sent time.Time) {
	o.probeFailed = true
	if o.answeredAt.IsZero() {
		o.answeredAt = sent // the store was down before the first answer
	}
}

// silence returns for how long no call was answered.
func (o *outageWitness) silence(now time.Time) time.Duration {
	if o.answeredAt.IsZero() {
		return 0
	}
	return now.Sub(o.answeredAt)
}

// mayLapse reports whether entries may have lapsed since the last answered call.
func (o *outageWitness) mayLapse(now time.Time) bool {
	return o.probeFailed && o.silence(now) >= o.heartbeat
}

// SetHeartbeat sets the interval at which upstreams write their entries.
func (c *Core) SetHeartbeat(interval time.Duration) { c.witness.heartbeat = interval }

// StoreAnswered records that a call to the platform's store that was sent at a time is answered now. It is called before
// what the call returned is applied. It returns for how long no call was answered before, and whether entries may have
// lapsed in that time: those that are missing now are kept until RestoreGrace is over.
func (c *Core) StoreAnswered(sent, now time.Time) (silence time.Duration, lapsed bool) {
	silence, lapsed = c.witness.answered(sent, now)
	if lapsed {
		c.PlatformLost()
	}
	c.PlatformRestored(now)
	return silence, lapsed
}

// ProbeFailed records that a probe of the platform's store, sent at a time, has failed. The list can't be read now, and
// entries may lapse if no other call is answered.
func (c *Core) ProbeFailed(sent, now time.Time) {
	c.ListLost()
	c.witness.failed(sent)
	if c.witness.mayLapse(now) {
		c.PlatformLost()
	}
}

// ListLost records that the list can't be read. That alone doesn't make entries lapse.
func (c *Core) ListLost() { c.listLost = true }

// ListRead records that the list can be read again, up to now.
func (c *Core) ListRead(now time.Time) {
	if c.listLost {
		c.listLost, c.connectedSince = false, now
	}
}
