package entry

import "sync"

// broadcastSends is how many times each fact (see broadcastQueue) is sent, as datagrams are lost now and
// then.
const broadcastSends = 3

// broadcastQueue holds what is still to be sent to all instances. Each item is called a fact: it is
// either a crash of an upstream or the key of an upstream whose rate limit has changed. An instance
// sends the facts that it found itself to the placers of all availability zones. Each placer sends the
// facts that it found or received to the instances of its own zone. So a fact reaches all instances
// within two hops. The zero value is ready to use.
type broadcastQueue[F comparable] struct {
	mu      sync.Mutex
	pending map[F]pendingFact
}

// pendingFact is the state of a fact that is still to be sent.
type pendingFact struct {
	own       bool // found by this instance
	sendsLeft int
}

// add adds the given facts to the queue. own says that this instance found them itself and didn't
// receive them from another one.
func (q *broadcastQueue[F]) add(own bool, facts ...F) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = make(map[F]pendingFact)
	}
	for _, f := range facts {
		q.pending[f] = pendingFact{own: own, sendsLeft: broadcastSends}
	}
}

// next returns the facts to send now, and counts this as one send of each of them. The result own has
// the facts that this instance found. The result all has these and those that it received from others.
func (q *broadcastQueue[F]) next() (own, all []F) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, p := range q.pending {
		all = append(all, f)
		if p.own {
			own = append(own, f)
		}
		if p.sendsLeft--; p.sendsLeft == 0 {
			delete(q.pending, f)
			continue
		}
		q.pending[f] = p
	}
	return own, all
}
