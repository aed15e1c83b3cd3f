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

// Defaults of Config. Together they bound a trail's memory: the entries that wait
// plus one segment.
const (
	DefaultFlushEvery   = 2 * time.Second
	DefaultMaxEntries   = 4096
	DefaultMaxBytes     = 2 << 20
	DefaultSegmentBytes = 128 << 10
	DefaultCallTimeout  = 10 * time.Second
)

// retry paces attempts while the platform is out.
var retry = platform.Backoff{Base: time.Second, Max: 30 * time.Second}

// Config of a trail. Store and Writer must be set.
type Config struct {
	Store        platform.Store
	Writer       string        // instance or operator
	FlushEvery   time.Duration // pause between batches
	MaxEntries   int           // that wait for the platform
	MaxBytes     int           // that wait for the platform
	SegmentBytes int           // of one segment; at most half of platform.MaxValueBytes
	Seed         uint64        // of the jitter between attempts; zero: random, so that writers don't come back together
	Now          func() time.Time
}

// Trail is the writing end of the audit trail in one process. Its methods may be
// called from several goroutines at once.
type Trail struct {
	cfg   Config
	mu    sync.Mutex
	buf   *buffer
	write chan struct{} // holds one token: the right to write a batch
	rng   *rand.Rand    // used by Run only
}

// NewTrail makes a trail. Run writes it out.
func NewTrail(cfg Config) *Trail {
	cfg = withDefaults(cfg)
	t := &Trail{
		cfg:   cfg,
		write: make(chan struct{}, 1),
		rng:   rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	t.buf = newBuffer(cfg.Writer+"-"+platform.NewNonce(), cfg.Writer,
		limits{entries: cfg.MaxEntries, bytes: cfg.MaxBytes, segmentBytes: cfg.SegmentBytes})
	t.write <- struct{}{}
	return t
}

func withDefaults(cfg Config) Config {
	if cfg.FlushEvery <= 0 {
		cfg.FlushEvery = DefaultFlushEvery
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

// Record takes an entry. It never blocks. A zero At or Who is filled in.
func (t *Trail) Record(e Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	t.buf.add(now, e.completed(t.cfg.Writer, now))
}

// Dropped counts the entries that did not fit the buffer.
func (t *Trail) Dropped() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buf.dropped
}

// Waiting counts the entries that are not written yet.
func (t *Trail) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.buf.pending)
}

// Run writes batches until ctx ends. What waits then is left to Flush.
func (t *Trail) Run(ctx context.Context) {
	failures := 0
	pause := t.cfg.FlushEvery
	for platform.Sleep(ctx, pause) == nil {
		pause = t.cfg.FlushEvery
		if err := t.Flush(ctx); err != nil && ctx.Err() == nil {
			pause += retry.Delay(failures, t.rng.Float64())
			failures++
			logline.Debug("audit trail waits", "waiting", t.Waiting(), "dropped", t.Dropped(), "error", err)
			continue
		}
		failures = 0
	}
}

// Flush writes everything that waits, at most until ctx ends. An error leaves the
// rest waiting.
func (t *Trail) Flush(ctx context.Context) error {
	select {
	case <-t.write:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "flushing the audit trail")
	}
	defer func() { t.write <- struct{}{} }()
	for {
		o, ok, err := t.next()
		if err != nil || !ok {
			return err
		}
		if err := t.store(ctx, o); err != nil {
			return err
		}
	}
}

// next gives the object that the next write stores, false if nothing waits.
func (t *Trail) next() (platform.Object, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf.noteDrops(t.cfg.Now())
	content, ok := t.buf.batch()
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

// store writes a segment and notes what became of it.
func (t *Trail) store(ctx context.Context, o platform.Object) error {
	ctx, cancel := context.WithTimeout(ctx, DefaultCallTimeout)
	defer cancel()
	stored, err := platform.Write(ctx, t.cfg.Store, o)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.buf.stored(stored.Version)
		return nil
	case errors.Is(err, platform.ErrUnavailable):
		t.buf.refused()
		return errors.Wrap(err, "writing the audit trail")
	default:
		t.buf.doubtful()
		return errors.Wrap(err, "writing the audit trail")
	}
}
