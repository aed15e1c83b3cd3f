package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/jsondepth"
)

// Watch implements Store. It opens the first connection before it returns, and returns an
// error if that fails. If a connection breaks or is idle for WatchIdle, the watch is
// reopened with backoff from the version of the last event or bookmark. Next returns
// ErrUnavailable once reopening has failed for WatchGiveUp, and ErrHistoryGone if the
// platform no longer has the events since that version. Both end the watch.
func (c *Client) Watch(ctx context.Context, kinds []string, from uint64) (Watch, error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &clientWatch{
		client:    c,
		kinds:     kinds,
		ctx:       ctx,
		cancel:    cancel,
		events:    make(chan Event, watchBuffer),
		ended:     make(chan struct{}),
		delivered: from,
	}
	conn, err := w.open()
	if err != nil {
		cancel()
		return nil, err
	}
	c.openWatches.Add(1)
	go w.run(conn)
	return w, nil
}

// watchBuffer is the maximum number of events that are buffered for Next.
const watchBuffer = 64

// clientWatch is a Watch over HTTP that reopens its connection when that breaks.
type clientWatch struct {
	client    *Client
	kinds     []string
	ctx       context.Context
	cancel    context.CancelFunc
	events    chan Event
	ended     chan struct{} // closed when run ends; err is set before
	err       error
	closeOnce sync.Once
	delivered uint64 // version up to which every event was put into events; used by run only
}

// Next implements Watch.
func (w *clientWatch) Next(ctx context.Context) (Event, error) {
	select {
	case e := <-w.events:
		return e, nil
	default:
	}
	select {
	case e := <-w.events:
		return e, nil
	case <-ctx.Done():
		return Event{}, ctx.Err()
	case <-w.ended:
		return w.nextBuffered()
	}
}

// nextBuffered returns the next event that was received before the watch ended. If there is
// none left, it returns the error that ended the watch.
func (w *clientWatch) nextBuffered() (Event, error) {
	select {
	case e := <-w.events:
		return e, nil
	default:
		return Event{}, w.err
	}
}

// Close implements Watch. It waits until the watch has ended, and may be called more than
// once.
func (w *clientWatch) Close() {
	w.closeOnce.Do(func() {
		w.cancel()
		<-w.ended
	})
}

// watchConn is one connection of a watch.
type watchConn struct {
	body   io.ReadCloser
	cancel context.CancelFunc
}

// open opens a connection that delivers the events after w.delivered.
func (w *clientWatch) open() (*watchConn, error) {
	ctx, cancel := context.WithCancel(w.ctx)
	timer := time.AfterFunc(w.client.cfg.Timeout, cancel) // bounds the opening only
	defer timer.Stop()
	if err := w.client.limiter.Wait(ctx); err != nil {
		cancel()
		return nil, errors.Wrapf(ErrUnavailable, "call budget: %v", err)
	}
	query := url.Values{"from": {strconv.FormatUint(w.delivered, 10)}, "kind": w.kinds}
	r := request{method: http.MethodGet, path: WatchPath + "?" + query.Encode()}
	res, err := w.client.send(ctx, r)
	if err != nil {
		cancel()
		return nil, err
	}
	if res.StatusCode >= http.StatusBadRequest {
		defer cancel()
		defer res.Body.Close()
		return nil, responseError(r, res)
	}
	return &watchConn{body: res.Body, cancel: cancel}, nil
}

// run reads events from one connection after another until the watch ends.
func (w *clientWatch) run(conn *watchConn) {
	defer close(w.ended)
	defer w.cancel()
	defer w.client.openWatches.Add(-1)
	for {
		w.readEvents(conn)
		next, err := w.reopen()
		if err != nil {
			w.err = err
			return
		}
		conn = next
	}
}

// readEvents puts the events of one connection into w.events until the connection breaks,
// is idle for WatchIdle, or the watch ends.
func (w *clientWatch) readEvents(conn *watchConn) {
	defer conn.body.Close()
	defer conn.cancel()
	idle := time.AfterFunc(w.client.cfg.WatchIdle, conn.cancel)
	defer idle.Stop()
	stop := w.chargeLimiter()
	defer stop()
	// An event without end breaks the connection. What the decoder has read ahead doesn't matter for the limit.
	limited := &io.LimitedReader{R: conn.body}
	decoder := json.NewDecoder(bufio.NewReader(jsondepth.NewReader(limited)))
	for {
		limited.N = maxObjectResponseBytes
		var e Event
		err := decoder.Decode(&e)
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) { // the decoder goes on after the event
			logUnreadable(e.Object, err)
			continue
		}
		if err != nil {
			return
		}
		idle.Reset(w.client.cfg.WatchIdle)
		if e.Object.Version < w.delivered || (e.Type != Bookmark && e.Object.Version == w.delivered) {
			continue // already delivered
		}
		select {
		case w.events <- e:
			w.delivered = e.Object.Version
		case <-w.ctx.Done():
			return
		}
		idle.Reset(w.client.cfg.WatchIdle) // the wait for a free place in w.events does not count
	}
}

// chargeLimiter takes one call from the rate limiter each watchChargeInterval until stop is
// called or the watch ends.
func (w *clientWatch) chargeLimiter() (stop func()) {
	ctx, cancel := context.WithCancel(w.ctx)
	go func() {
		for Sleep(ctx, watchChargeInterval) == nil {
			w.client.limiter.Reserve()
		}
	}()
	return cancel
}

// reopen opens another connection, with backoff. It retries for WatchGiveUp, and only while
// the platform is unavailable and has not refused the key. Otherwise it returns the error.
func (w *clientWatch) reopen() (*watchConn, error) {
	deadline := time.Now().Add(w.client.cfg.WatchGiveUp)
	for attempt := 0; ; attempt++ {
		delay := w.client.cfg.Backoff.Delay(attempt, w.client.jitter.draw())
		if err := Sleep(w.ctx, delay); err != nil {
			return nil, err
		}
		conn, err := w.open()
		if err == nil {
			return conn, nil
		}
		if w.ctx.Err() != nil {
			return nil, w.ctx.Err()
		}
		if !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrDenied) || time.Now().After(deadline) {
			return nil, err
		}
	}
}
