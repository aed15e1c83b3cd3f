package audit

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Defaults of Config, and the time limit of one write. DefaultMaxEntries, DefaultMaxBytes and
// DefaultSegmentBytes bound the memory of a trail, which holds the pending entries and one segment.
const (
	DefaultFlushInterval = 2 * time.Second
	DefaultMaxEntries    = 4096
	DefaultMaxBytes      = 2 << 20
	DefaultSegmentBytes  = 128 << 10
	DefaultCallTimeout   = 10 * time.Second
)

// flushBackoff is the delay after a failed flush, in addition to Config.FlushInterval.
var flushBackoff = platform.Backoff{Base: time.Second, Max: 30 * time.Second}

// Config configures a trail. Store and Writer must be set. Other fields that are zero get defaults.
type Config struct {
	Store         platform.Store
	Writer        string           // instance or operator
	FlushInterval time.Duration    // pause between flushes
	MaxEntries    int              // maximum number of pending entries; below 2: the default
	MaxBytes      int              // maximum encoded size of the pending entries
	SegmentBytes  int              // maximum encoded size of a segment; limited to half of platform.MaxValueBytes
	Seed          uint64           // of the jitter between attempts; 0: random, so that writers don't retry at the same time
	Now           func() time.Time // clock; nil: time.Now
}

// Trail writes audit entries of one process. Its methods may be called concurrently.
type Trail struct {
	cfg        Config
	mu         sync.Mutex // guards buf
	buf        *buffer
	writeToken chan struct{} // holds one token, which is taken to write batches
	rng        *rand.Rand    // used by Run only
}

// NewTrail returns a trail. Run writes its entries.
func NewTrail(cfg Config) *Trail {
	cfg = withDefaults(cfg)
	t := &Trail{
		cfg:        cfg,
		writeToken: make(chan struct{}, 1),
		rng:        rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	t.buf = newBuffer(cfg.Writer+"-"+platform.NewNonce(), cfg.Writer,
		limits{entries: cfg.MaxEntries, bytes: cfg.MaxBytes, segmentBytes: cfg.SegmentBytes})
	t.writeToken <- struct{}{}
	return t
}

// withDefaults returns the configuration with defaults for the fields that are not set.
func withDefaults(cfg Config) Config {
	if cfg.FlushInterval <= 0 {
		cfg.FlushInterval = DefaultFlushInterval
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.MaxEntries <= 1 {
		cfg.MaxEntries = DefaultMaxEntries
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.SegmentBytes <= 0 {
		cfg.SegmentBytes = DefaultSegmentBytes
	}
	cfg.SegmentBytes = min(cfg.SegmentBytes, platform.MaxValueBytes/2)
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return cfg
}

// Record adds an entry without blocking. It sets At and Who if they are zero.
func (t *Trail) Record(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	t.buf.add(now, e.withDefaults(t.cfg.Writer, now))
}

// Dropped returns the number of entries that did not fit the buffer.
func (t *Trail) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.dropped
}

// Pending returns the number of entries that are not yet written.
func (t *Trail) Pending() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.buf.pending)
}

// Run flushes the trail every FlushInterval until ctx ends. To write the entries that are still pending
// then, call Flush with another context.
func (t *Trail) Run(ctx context.Context) {
	failures := 0
	pause := t.cfg.FlushInterval
	for platform.Sleep(ctx, pause) == nil {
		pause = t.cfg.FlushInterval
		if err := t.Flush(ctx); err != nil && ctx.Err() == nil {
			pause += flushBackoff.Delay(failures, t.rng.Float64())
			failures++
			logline.Debug("audit trail waits", "waiting", t.Pending(), "dropped", t.Dropped(), "error", err)
			continue
		}
		failures = 0
	}
}

// Flush writes all pending entries. After an error, as when ctx ends, the entries that were not
// certainly stored are still pending. Concurrent calls wait for each other.
func (t *Trail) Flush(ctx context.Context) error {
	select {
	case <-t.writeToken:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "flushing the audit trail")
	}
	defer func() { t.writeToken <- struct{}{} }()
	for {
		o, ok, err := t.nextObject()
		if err != nil || !ok {
			return err
		}
		if err := t.storeSegment(ctx, o); err != nil {
			return err
		}
	}
}

// nextObject returns the object that the next write stores, or false if nothing is pending.
func (t *Trail) nextObject() (platform.Object, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf.addDropEntry(t.cfg.Now())
	content, ok := t.buf.nextBatch()
	if !ok {
		return platform.Object{}, false, nil
	}
	spec, err := json.Marshal(content)
	if err != nil {
		return platform.Object{}, false, errors.Wrap(err, "encoding the audit trail")
	}
	return platform.Object{
		Kind:    resource.KindAudit,
		Name:    t.buf.currentName,
		Version: t.buf.version,
		Writer:  t.cfg.Writer,
		Nonce:   platform.NewNonce(),
		Spec:    spec,
	}, true, nil
}

// storeSegment writes a segment and records the outcome in the buffer. An error
// other than platform.ErrUnavailable leaves open whether the write took effect.
func (t *Trail) storeSegment(ctx context.Context, o platform.Object) error {
	ctx, cancel := context.WithTimeout(ctx, DefaultCallTimeout)
	defer cancel()
	stored, err := platform.Write(ctx, t.cfg.Store, o)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.buf.batchStored(stored.Version)
		return nil
	case errors.Is(err, platform.ErrUnavailable):
		t.buf.batchRejected()
		return errors.Wrap(err, "writing the audit trail")
	default:
		t.buf.batchUncertain()
		return errors.Wrap(err, "writing the audit trail")
	}
}
