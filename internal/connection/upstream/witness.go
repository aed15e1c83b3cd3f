package upstream

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Witness is a connection to an upstream that carries no request. The end of a process ends all its
// connections, so the end of this one next to a broken answer tells that the process ended, however soon
// another one listens in its place.
type Witness struct {
	conn net.Conn
	done chan struct{} // closed when the connection has ended
	at   time.Time     // when it ended; valid after done
	err  error         // why; valid after done
}

// OpenWitness connects to an address (host:port).
func OpenWitness(ctx context.Context, address string, timeout time.Duration) (*Witness, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "witness at %s", address)
	}
	w := &Witness{conn: conn, done: make(chan struct{})}
	go w.watch()
	return w, nil
}

func (w *Witness) watch() {
	defer close(w.done)
	_, w.err = w.conn.Read(make([]byte, 1))
	w.at = time.Now()
}

// EndedAbout waits until the process at the other side closed the connection, and reports whether it did so
// at most within before or after a time. A reset tells nothing: a cut link resets connections as well.
func (w *Witness) EndedAbout(ctx context.Context, at time.Time, within time.Duration) bool {
	wait := time.NewTimer(time.Until(at.Add(within)))
	defer wait.Stop()
	select {
	case <-w.done:
		return w.err == io.EOF && w.at.Sub(at).Abs() <= within
	case <-wait.C:
	case <-ctx.Done():
	}
	return false
}

// Close gives the connection up.
func (w *Witness) Close() error {
	return errors.Wrap(w.conn.Close(), "witness")
}
