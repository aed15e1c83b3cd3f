package peer

import (
	"context"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// Close codes of this protocol, see RFC 6455 section 7.4.2.
const (
	closeDuplicate websocket.StatusCode = 4001 // another connection of this pair is kept
	closeRefused   websocket.StatusCode = 4002 // authentication failed or the protocol version is not accepted
)

// writeTimeout bounds one write. If a peer does not read for this long, the connection to
// it is closed.
const writeTimeout = 10 * time.Second

// link is one authenticated connection.
type link struct {
	conn   *websocket.Conn
	peer   Hello       // the peer's Hello from the handshake
	dialer string      // name of the side that dialed
	queue  chan []byte // encoded messages to send
	stats  *counters

	ctx       context.Context
	cancel    context.CancelFunc
	closeOnce sync.Once
}

func newLink(ctx context.Context, conn *websocket.Conn, peer Hello, dialer string, queue int, stats *counters) *link {
	ctx, cancel := context.WithCancel(ctx)
	conn.SetReadLimit(MaxMessageBytes)
	return &link{
		conn: conn, peer: peer, dialer: dialer, stats: stats,
		queue: make(chan []byte, queue), ctx: ctx, cancel: cancel,
	}
}

// close ends the connection and with it the goroutines of run. It sends a close frame only
// for closeDuplicate and closeRefused, whose codes the peer needs to know.
func (l *link) close(code websocket.StatusCode, reason string) {
	l.closeOnce.Do(func() {
		if code == closeDuplicate || code == closeRefused {
			_ = l.conn.Close(code, reason)
		}
		l.cancel()
		_ = l.conn.CloseNow()
	})
}

// enqueue queues an encoded message. It never blocks: it returns ErrQueueFull if the queue
// is full, and ErrNotConnected if the connection has ended.
func (l *link) enqueue(data []byte) error {
	if l.ctx.Err() != nil {
		return errors.Wrap(ErrNotConnected, l.peer.Name)
	}
	select {
	case l.queue <- data:
		return nil
	default:
		l.stats.dropped.Add(1)
		return errors.Wrap(ErrQueueFull, l.peer.Name)
	}
}

// run reads, writes and pings until the connection ends, and returns the error that ended
// reading. It passes each received message to receive.
func (l *link) run(pingInterval, pingTimeout time.Duration, receive func(Envelope)) error {
	var loops sync.WaitGroup
	loops.Go(l.writeLoop)
	loops.Go(func() { l.pingLoop(pingInterval, pingTimeout) })
	err := l.readLoop(receive)
	l.close(websocket.StatusNormalClosure, "")
	loops.Wait()
	return err
}

// readLoop reads messages until reading or decoding fails.
func (l *link) readLoop(receive func(Envelope)) error {
	for {
		_, data, err := l.conn.Read(l.ctx)
		if err != nil {
			return errors.Wrap(err, "read")
		}
		l.stats.addReceived(len(data))
		e, err := Decode(data)
		if err != nil {
			return err
		}
		receive(e)
	}
}

// writeLoop writes the queued messages. It closes the connection if a write fails.
func (l *link) writeLoop() {
	for {
		select {
		case <-l.ctx.Done():
			return
		case data := <-l.queue:
			if !l.write(data) {
				l.close(websocket.StatusNormalClosure, "")
				return
			}
		}
	}
}

// write writes one encoded message and reports whether that succeeded.
func (l *link) write(data []byte) bool {
	ctx, cancel := context.WithTimeout(l.ctx, writeTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return false
	}
	l.stats.addSent(len(data))
	return true
}

// pingLoop pings the peer at the given interval. It closes the connection if a ping is not
// answered within timeout.
func (l *link) pingLoop(interval, timeout time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
		}
		ctx, cancel := context.WithTimeout(l.ctx, timeout)
		err := l.conn.Ping(ctx)
		cancel()
		if err != nil {
			l.close(websocket.StatusNormalClosure, "")
			return
		}
	}
}
