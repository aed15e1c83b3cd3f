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

// originReader reads the platform's record of origins for requests.
type originReader struct {
	reads     *sharedReads[recordAtEra]
	onMissing func() // called if there is no record

	mu     sync.Mutex
	last   recordAtEra // of the last read that succeeded
	lastAt time.Time   // when it ended; zero: there was none
}

// recordAtEra is the record in an era of the platform.
type recordAtEra struct {
	origins.Record
	era uint64
}

// ambiguityLife is how long a read that shows several possible origins serves for further requests. Origins stay possible
// for as long as origins.Memory, so that only the day's last seconds of refusals could be spared by reading again.
const ambiguityLife = 10 * time.Second

func newOriginReader(records platform.Store) *originReader {
	r := &originReader{onMissing: func() {}}
	r.reads = newSharedReads(0, func(ctx context.Context) (recordAtEra, error) {
		o, err := records.Get(ctx, resource.KindOriginRecord, originRecordName)
		if err != nil {
			return recordAtEra{}, err
		}
		record, err := decodeOriginRecord(o)
		if err != nil {
			record = origins.Record{Era: origins.NoEra} // it says nothing, and coming back doesn't help
		}
		return recordAtEra{record, platform.EraOf(o.Version)}, nil
	})
	return r
}

// sole returns the only possible origin of a stream on a path of a host that began before this call. ok is false if there
// are several, or if none is known. It returns an error if the platform didn't say.
func (r *originReader) sole(ctx context.Context, host, path string) (origin origins.Origin, ok bool, err error) {
	if r.ambiguous(time.Now(), host, path) {
		return origins.Origin{}, false, nil
	}
	record, err := r.reads.join().await(ctx)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		r.onMissing()
		return origins.Origin{}, false, nil
	case errors.Is(err, platform.ErrInvalid):
		return origins.Origin{}, false, nil
	case err != nil:
		return origins.Origin{}, false, err
	}
	r.keep(record)
	origin, ok = record.Sole(record.era, time.Now(), host, path)
	return origin, ok, nil
}

// ambiguous reports whether the last read shows that several origins are possible.
func (r *originReader) ambiguous(now time.Time, host, path string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lastAt.IsZero() && now.Sub(r.lastAt) < ambiguityLife && r.last.Ambiguous(r.last.era, now, host, path)
}

// keep keeps the result of a read that succeeded.
func (r *originReader) keep(record recordAtEra) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.lastAt = record, time.Now()
}
