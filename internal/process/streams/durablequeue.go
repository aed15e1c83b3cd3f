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
}

// queuedRow says when a row becomes due.
type queuedRow struct {
	key   Key
	dueAt time.Time
}

func newDurableQueue() durableQueue {
	return durableQueue{waiting: make(map[Key]bool), handed: make(map[Key]time.Time), finished: make(map[Key]bool)}
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
}

// Ended records that the response with a stream was delivered to its end, so that its row needn't be kept in the
// platform's store.
func (c *Core) Ended(key Key) {
	if _, handed := c.durable.handed[key]; handed && len(c.durable.ended) < maxEnded {
		c.durable.ended = append(c.durable.ended, key)
	}
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
	for len(q.order) > 0 && (all || !now.Before(q.order[0].dueAt)) {
		key := q.order[0].key
		q.order = q.order[1:]
		row, ok := c.own[key]
		if !q.waiting[key] || !ok || !now.Before(row.Expires) {
			continue
		}
		delete(q.waiting, key)
		if row.Expires.Sub(q.handed[key]) > renewalSlack {
			q.handed[key] = row.Expires
			rows = append(rows, row)
		}
	}
	return rows, ended
}

// NextDurable returns when TakeDurable will return something; ok is false if nothing waits.
func (c *Core) NextDurable(now time.Time) (at time.Time, ok bool) {
	if len(c.durable.ended) > 0 {
		return now, true
	}
	if len(c.durable.order) == 0 {
		return time.Time{}, false
	}
	return c.durable.order[0].dueAt, true
}
