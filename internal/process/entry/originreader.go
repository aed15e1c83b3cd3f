package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/origins"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// originReadTimeout limits a read of the record of origins while a caller waits. The platform usually answers within
// milliseconds.
const originReadTimeout = 150 * time.Millisecond

// originReader reads the platform's record of origins for requests. Requests that come while a read is under way share
// the next one: a read that began before a request may miss the origin of its stream.
type originReader struct {
	read      func(ctx context.Context) (origins.Record, uint64, error) // returns the record and the era of the platform
	onMissing func()                                                    // called if there is no record

	mu     sync.Mutex
	next   *originRead // hasn't begun; nil: none is wanted
	busy   bool        // a read is under way
	last   *originRead // the last one that succeeded; nil: none
	lastAt time.Time   // when it ended
}

// ambiguityLife is how long a read that shows several possible origins serves for further requests. Origins stay possible
// for as long as origins.Memory, so that only the day's last seconds of refusals could be spared by reading again.
const ambiguityLife = 10 * time.Second

// originRead is a read of the record and its result.
type originRead struct {
	done   chan struct{} // closed when the result is set
	record origins.Record
	era    uint64 // of the platform
	err    error
}

func newOriginReader(records platform.Store) *originReader {
	return &originReader{onMissing: func() {}, read: func(ctx context.Context) (origins.Record, uint64, error) {
		o, err := records.Get(ctx, resource.KindOriginRecord, originRecordName)
		if err != nil {
			return origins.Record{}, 0, err
		}
		record, err := decodeOriginRecord(o)
		if err != nil {
			record = origins.Record{Era: origins.NoEra} // it says nothing, and coming back doesn't help
		}
		return record, platform.EraOf(o.Version), nil
	}}
}

// sole returns the only possible origin of a stream on a path of a host that began before this call. ok is false if there
// are several, or if none is known. It returns an error if the platform didn't say.
func (r *originReader) sole(ctx context.Context, host, path string) (origin origins.Origin, ok bool, err error) {
	if r.ambiguous(time.Now(), host, path) {
		return origins.Origin{}, false, nil
	}
	read := r.join()
	select {
	case <-read.done:
	case <-ctx.Done():
		return origins.Origin{}, false, ctx.Err()
	}
	if errors.Is(read.err, platform.ErrNotFound) {
		r.onMissing()
		return origins.Origin{}, false, nil
	}
	if errors.Is(read.err, platform.ErrInvalid) {
		return origins.Origin{}, false, nil
	}
	if read.err != nil {
		return origins.Origin{}, false, read.err
	}
	origin, ok = read.record.Sole(read.era, time.Now(), host, path)
	return origin, ok, nil
}

// ambiguous reports whether the last read shows that several origins are possible.
func (r *originReader) ambiguous(now time.Time, host, path string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last != nil && now.Sub(r.lastAt) < ambiguityLife && r.last.record.Ambiguous(r.last.era, now, host, path)
}

// join returns the next read, and starts it if none is under way.
func (r *originReader) join() *originRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &originRead{done: make(chan struct{})}
	}
	if !r.busy {
		r.busy = true
		go r.run()
	}
	return r.next
}

// take returns the next read, which begins now; nil: none is wanted.
func (r *originReader) take() *originRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	read := r.next
	r.next, r.busy = nil, read != nil
	return read
}

// run makes the reads until none is wanted.
func (r *originReader) run() {
	for read := r.take(); read != nil; read = r.take() {
		ctx, cancel := context.WithTimeout(context.Background(), originReadTimeout)
		read.record, read.era, read.err = r.read(ctx)
		cancel()
		r.keep(read)
		close(read.done)
	}
}

// keep keeps a read that succeeded.
func (r *originReader) keep(read *originRead) {
	if read.err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.lastAt = read, time.Now()
}
