package streams

import "time"

const (
	// durableDelay is how long a stream has to run, or to be broken off, until its row is handed over. Most streams that
	// end soon cost nothing.
	durableDelay = 500 * time.Millisecond
	// renewalSlack is how much later than the row that was handed over a row of the same stream has to expire to be
	// handed over again.
	renewalSlack = 10 * time.Second
	// maxEnded limits the streams that ended and wait to be reported. Rows of further ones stay until they expire.
	maxEnded = 1 << 12
)

// durableQueue decides which own rows to hand over to be kept in the platform's store, and when.
type durableQueue struct {
	waiting  map[Key]bool      // rows that aren't handed over yet, or are to be handed over again
	order    []queuedRow       // those of waiting, in the order of time, and some that no longer wait
	handed   map[Key]time.Time // when the row that was handed over expires
	finished map[Key]bool      // own rows of streams that ended
	ended    []Key             // streams with a row that was handed over that ended since the last TakeDurable

	announced map[Key]announcement // streams that have been sent to an upstream and brought no event yet
	fresh     []Key                // those of announced that are to be handed over with the next TakeDurable
}

// announcement is the origin that a stream will have if its upstream answers.
type announcement struct {
	row     Row    // an empty origin: more than one was announced
	request string // the only request that announced it; empty: several requests use one id
	handed  bool   // a row with an origin was handed over
	settled bool   // the platform's store has the row without an origin
}

// queuedRow says when a row becomes due.
type queuedRow struct {
	key   Key
	dueAt time.Time
}

func newDurableQueue() durableQueue {
	return durableQueue{waiting: make(map[Key]bool), handed: make(map[Key]time.Time), finished: make(map[Key]bool), announced: make(map[Key]announcement)}
}

// add adds the row of a stream that hasn't ended.
func (q *durableQueue) add(now time.Time, key Key) {
	if !q.waiting[key] {
		q.waiting[key] = true
		q.order = append(q.order, queuedRow{key: key, dueAt: now.Add(durableDelay)})
	}
}

// forget drops a row, which doesn't change what was handed over.
func (q *durableQueue) forget(key Key) {
	delete(q.waiting, key)
	delete(q.handed, key)
	delete(q.finished, key)
	delete(q.announced, key)
}

// Announce records that a request is about to be sent to an upstream at which its stream begins if the upstream answers,
// so that the platform's store may have the row before the first event comes. A request may announce several origins, one
// after the other. If the store may have a row with another one, Announce returns the row without an origin that the store
// must have before an event is passed on (see Settled): the origin that it has would be wrong after a loss of all instances.
func (c *Core) Announce(now time.Time, key Key, origin Origin, life time.Duration, request string) (needed Row, isNeeded bool) {
	q := &c.durable
	old, known := q.announced[key]
	if own, began := c.own[key]; !known && began && now.Before(own.Expires) {
		_, handed := q.handed[key]
		old, known = announcement{row: own, handed: handed && own.Origin != Origin{}}, true
	}
	switch shared := known && old.request != request; { // shared: two callers without an account use one id
	case !known && len(q.announced) >= maxRows:
		return Row{}, false // the row is handed over later, see Began
	case !known, !shared && !old.handed:
		old = announcement{row: Row{Key: key, Origin: origin, Expires: now.Add(min(life, MaxLife))}, request: request}
	case old.row.Origin != origin:
		old.row.Origin = Origin{}
	}
	if old.request != request {
		old.request = ""
	}
	q.announced[key] = old
	q.fresh = append(q.fresh, key)
	return old.row, old.handed && !old.settled && old.row.Origin == Origin{}
}

// Settled records that the platform's store has the row without an origin that Announce returned.
func (c *Core) Settled(key Key) {
	if a, ok := c.durable.announced[key]; ok {
		a.settled = true
		c.durable.announced[key] = a
	}
}

// Withdrawn records that the request that announced a stream has ended without an event of it.
func (c *Core) Withdrawn(key Key) {
	if _, began := c.own[key]; !began {
		c.reportEnded(key)
		c.durable.forget(key)
	}
}

// reportEnded has the end of a stream reported whose row was handed over.
func (c *Core) reportEnded(key Key) {
	if _, handed := c.durable.handed[key]; handed && len(c.durable.ended) < maxEnded {
		c.durable.ended = append(c.durable.ended, key)
	}
}

// Ended records that the response with a stream was delivered to its end, so that its row needn't be kept in the
// platform's store.
func (c *Core) Ended(key Key) {
	c.reportEnded(key)
	c.durable.forget(key)
	if _, known := c.own[key]; known {
		c.durable.finished[key] = true
	}
}

// TakeDurable returns the own rows to hand over now, and the streams of rows that were handed over and have ended since.
// all: also the rows that aren't due yet.
func (c *Core) TakeDurable(now time.Time, all bool) (rows []Row, ended []Key) {
	q := &c.durable
	ended, q.ended = q.ended, nil
	rows = c.takeAnnounced(now)
	for len(q.order) > 0 && (all || !now.Before(q.order[0].dueAt)) {
		key := q.order[0].key
		q.order = q.order[1:]
		row, ok := c.own[key]
		if !q.waiting[key] || !ok || !now.Before(row.Expires) {
			continue
		}
		delete(q.waiting, key)
		if row.Expires.Sub(q.handed[key]) > renewalSlack {
			rows = append(rows, c.handOver(row))
		}
	}
	return rows, ended
}

// takeAnnounced returns the rows of streams that were announced since the last call, also if these have begun meanwhile.
func (c *Core) takeAnnounced(now time.Time) (rows []Row) {
	q := &c.durable
	for _, key := range q.fresh {
		row, ok := c.own[key]
		ok = ok && !q.finished[key]
		if a, announced := q.announced[key]; announced {
			row, ok = a.row, true
		}
		if _, handed := q.handed[key]; !ok || !now.Before(row.Expires) || handed && row.Origin != (Origin{}) {
			continue
		}
		rows = append(rows, c.handOver(row))
	}
	q.fresh = nil
	return rows
}

// handOver records that a row is handed over, and returns it as it is to be: without an origin if what was announced
// contradicts it.
func (c *Core) handOver(row Row) Row {
	q := &c.durable
	if a, announced := q.announced[row.Key]; announced {
		if a.row.Origin != row.Origin {
			row.Origin = Origin{}
		}
		a.handed = a.handed || row.Origin != Origin{}
		q.announced[row.Key] = a
	}
	q.handed[row.Key] = row.Expires
	return row
}

// began records that a stream that was announced has begun. What contradicts its origin is kept.
func (q *durableQueue) began(key Key, origin Origin) {
	if a, announced := q.announced[key]; announced && a.row.Origin == origin {
		delete(q.announced, key)
	}
}

// dropExpired drops what was announced and has expired.
func (q *durableQueue) dropExpired(now time.Time) {
	for key, a := range q.announced {
		if !now.Before(a.row.Expires) {
			delete(q.announced, key)
		}
	}
}

// NextDurable returns when TakeDurable will return something; ok is false if nothing waits.
func (c *Core) NextDurable(now time.Time) (at time.Time, ok bool) {
	if len(c.durable.ended)+len(c.durable.fresh) > 0 {
		return now, true
	}
	if len(c.durable.order) == 0 {
		return time.Time{}, false
	}
	return c.durable.order[0].dueAt, true
}
