package entry

import "sync"

// retoldTimes is in how many messages a fact is told, as datagrams are lost now and then.
const retoldTimes = 3

// retelling is what is still to be told of facts that all instances have to know. An instance tells what it
// found itself to those that give places, of all availability zones; each of these tells what it
// finds and hears to the instances of its own. So all know, by two messages each. The zero value is ready
// to use.
type retelling[F comparable] struct {
	mu   sync.Mutex
	left map[F]untold
}

// untold is how a fact is to be told.
type untold struct {
	own   bool // found by this instance
	times int  // messages to come
}

// put has facts be told.
func (r *retelling[F]) put(own bool, facts ...F) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left == nil {
		r.left = make(map[F]untold)
	}
	for _, f := range facts {
		r.left[f] = untold{own: own, times: retoldTimes}
	}
}

// take gives what the next messages tell: what this instance found, and all.
func (r *retelling[F]) take() (own, all []F) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f, u := range r.left {
		all = append(all, f)
		if u.own {
			own = append(own, f)
		}
		if u.times--; u.times == 0 {
			delete(r.left, f)
			continue
		}
		r.left[f] = u
	}
	return own, all
}
