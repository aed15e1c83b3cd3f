package upstream

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// writeEndTimeout is how long a request may still be written after the other side has ended its connection. A server that
// responds early may read the rest of the request after that.
const writeEndTimeout = time.Second

// errUnwritten means that a connection ended before what was to be written was written.
var errUnwritten = errors.New("the connection ended before the request was written")

// writeTracker tracks what is being written to a connection, to tell the orderly end of what is read from a reset. The kernel
// reports a reset once: if a write gets it, a read at the same time or later gets an end of file, as after an orderly end.
type writeTracker struct {
	mu      sync.Mutex
	open    int           // writes, and whole requests, that have begun and not ended
	err     error         // of the first one that failed; nil: none has
	changed chan struct{} // closed at the next change; nil: nobody waits for it
}

// begin records that a write or a request begins.
func (t *writeTracker) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open++
}

// end records that a write or a request has ended, with its error.
func (t *writeTracker) end(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
	t.setError(err)
	t.notify()
}

// fail records that whatever is being written fails.
func (t *writeTracker) fail(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open > 0 {
		t.setError(err)
	}
	t.notify()
}

// setError keeps the first error. The caller holds t.mu.
func (t *writeTracker) setError(err error) {
	if t.err == nil {
		t.err = err
	}
}

// notify wakes up who waits for a change. The caller holds t.mu.
func (t *writeTracker) notify() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// await waits until all that has begun is written, for a time at most. It returns an error if a write has failed or if some
// are still open then.
func (t *writeTracker) await(atMost time.Duration) error {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	for {
		open, changed, err := t.state()
		if err != nil {
			return errors.Wrap(err, "the connection ended while the request was written")
		}
		if open == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return errUnwritten
		}
	}
}

// state returns the number of open writes and requests, a channel that is closed at the next change, and the first error.
func (t *writeTracker) state() (open int, changed <-chan struct{}, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.open, t.changed, t.err
}
