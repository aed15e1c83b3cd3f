package platform

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// Defaults of Config.
const (
	DefaultHistoryEvents    = 4096
	DefaultHistoryBytes     = 16 << 20
	DefaultBookmarkInterval = time.Second
)

// Config configures a store. The zero value means no key, no rate limits, no latency and the
// defaults above for the other fields.
type Config struct {
	Key              string        // bearer key required over HTTP; empty: none
	Latency          time.Duration // of each call
	ReadsPerSecond   float64       // rate limit; a waiting watch counts as one read per second; 0: no limit
	WritesPerSecond  float64       // rate limit; 0: no limit
	HistoryEvents    int           // events kept for watches
	HistoryBytes     int           // total size of the specs in these events
	BookmarkInterval time.Duration // interval of bookmarks on a watch without events
}

// Store is an in-memory platform.Store. It is safe for concurrent use. Returned objects
// share their Spec with the store, so the Spec must not be modified.
type Store struct {
	cfg    Config
	reads  *rate.Limiter
	writes *rate.Limiter

	mu          sync.Mutex
	version     uint64
	objects     map[objectKey]platform.Object
	history     history
	changed     chan struct{} // closed and replaced when watches have to check for changes
	fault       Fault
	watchCuts   uint64   // number of times that watches were cut
	heldChanges []func() // changes delayed by Fault.StaleInstances
	stats       Stats
}

type objectKey struct{ kind, name string }

// Stats counts calls since the store was created, including those that failed.
type Stats struct {
	Reads        uint64 `json:"reads"`
	Writes       uint64 `json:"writes"`
	WatchesMade  uint64 `json:"watchesMade"`
	WatchesOpen  int    `json:"watchesOpen"`  // now
	RateRefusals uint64 `json:"rateRefusals"` // calls over a rate limit
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store.
func New(cfg Config) *Store {
	if cfg.HistoryEvents <= 0 {
		cfg.HistoryEvents = DefaultHistoryEvents
	}
	if cfg.HistoryBytes <= 0 {
		cfg.HistoryBytes = DefaultHistoryBytes
	}
	if cfg.BookmarkInterval <= 0 {
		cfg.BookmarkInterval = DefaultBookmarkInterval
	}
	return &Store{
		cfg:     cfg,
		reads:   newLimiter(cfg.ReadsPerSecond),
		writes:  newLimiter(cfg.WritesPerSecond),
		objects: map[objectKey]platform.Object{},
		history: history{maxEvents: cfg.HistoryEvents, maxBytes: cfg.HistoryBytes},
		changed: make(chan struct{}),
	}
}

// newLimiter returns a rate limiter with a burst of one second. 0 means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if err := s.admitRead(ctx); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[objectKey{kind, name}]
	if !ok {
		return platform.Object{}, errors.Wrapf(platform.ErrNotFound, "%s/%s", kind, name)
	}
	return o, nil
}

// List implements platform.Store. The objects are sorted by kind and name.
func (s *Store) List(ctx context.Context, kind string) ([]platform.Object, uint64, error) {
	if err := s.admitRead(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.Object
	for key, o := range s.objects {
		if kind == "" || key.kind == kind {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Kind != out[j].Kind {
			return out[i].Kind < out[j].Kind
		}
		return out[i].Name < out[j].Name
	})
	return out, s.version, nil
}

// Create implements platform.Store.
func (s *Store) Create(ctx context.Context, o platform.Object) (platform.Object, error) {
	return s.write(ctx, o.Kind, func() (platform.Object, error) { return s.create(o) })
}

// Update implements platform.Store.
func (s *Store) Update(ctx context.Context, o platform.Object) (platform.Object, error) {
	return s.write(ctx, o.Kind, func() (platform.Object, error) { return s.update(o) })
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, ifVersion uint64, writer, nonce string) error {
	_, err := s.write(ctx, kind, func() (platform.Object, error) {
		return s.remove(kind, name, ifVersion, writer, nonce)
	})
	return err
}

// create creates an object. It requires s.mu, as do update, remove and put.
func (s *Store) create(o platform.Object) (platform.Object, error) {
	if err := validate(o); err != nil {
		return platform.Object{}, err
	}
	key := objectKey{o.Kind, o.Name}
	if current, taken := s.objects[key]; taken {
		return platform.Object{}, conflictError(key, current)
	}
	o.UID = fmt.Sprintf("uid-%d", s.version+1)
	return s.put(key, o), nil
}

func (s *Store) update(o platform.Object) (platform.Object, error) {
	if err := validate(o); err != nil {
		return platform.Object{}, err
	}
	key := objectKey{o.Kind, o.Name}
	current, exists := s.objects[key]
	if !exists {
		return platform.Object{}, errors.Wrapf(platform.ErrNotFound, "%s/%s", o.Kind, o.Name)
	}
	if current.Version != o.Version {
		return platform.Object{}, conflictError(key, current)
	}
	o.UID = current.UID
	return s.put(key, o), nil
}

func (s *Store) remove(kind, name string, ifVersion uint64, writer, nonce string) (platform.Object, error) {
	key := objectKey{kind, name}
	current, exists := s.objects[key]
	if !exists {
		return platform.Object{}, errors.Wrapf(platform.ErrNotFound, "%s/%s", kind, name)
	}
	if ifVersion != 0 && current.Version != ifVersion {
		return platform.Object{}, conflictError(key, current)
	}
	delete(s.objects, key)
	s.version++
	deleted := platform.Object{Kind: kind, Name: name, UID: current.UID, Version: s.version, Writer: writer, Nonce: nonce}
	s.publish(platform.Event{Type: platform.Deleted, Object: deleted})
	return deleted, nil
}

// put stores an object, with a copy of its spec, under the next version.
func (s *Store) put(key objectKey, o platform.Object) platform.Object {
	s.version++
	o.Version = s.version
	o.Spec = append([]byte(nil), o.Spec...)
	s.objects[key] = o
	s.publish(platform.Event{Type: platform.Put, Object: o})
	return o
}

// publish adds an event to the history and wakes the watches. It requires s.mu.
func (s *Store) publish(e platform.Event) {
	s.history.add(e)
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func validate(o platform.Object) error {
	if o.Kind == "" || o.Name == "" {
		return errors.Wrap(platform.ErrInvalid, "kind and name must be set")
	}
	if len(o.Spec) > platform.MaxValueBytes {
		return errors.Wrapf(platform.ErrTooLarge, "%s/%s: %d bytes, at most %d", o.Kind, o.Name, len(o.Spec), platform.MaxValueBytes)
	}
	return nil
}

func conflictError(key objectKey, current platform.Object) error {
	return &platform.ConflictError{Kind: key.kind, Name: key.name, Current: platform.CurrentOf(current)}
}

// PutInstance creates or replaces an entry of the instance list, as the platform itself
// does. The change is delayed while Fault.StaleInstances is set.
func (s *Store) PutInstance(name string, instance resource.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyOrHold(func() { s.putInstance(name, instance) })
}

// RemoveInstance removes an entry from the instance list. The change is delayed while
// Fault.StaleInstances is set.
func (s *Store) RemoveInstance(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyOrHold(func() { _, _ = s.remove(resource.KindInstance, name, 0, instanceWriter, "") })
}
