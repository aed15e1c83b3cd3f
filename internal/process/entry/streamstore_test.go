package entry

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	store "github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/process/streams"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
)

// newStreamStoreEntry returns an entry process of a zone that exchanges no messages with others.
func newStreamStoreEntry(name, zone string, s *platform.Store) *Entry {
	c := &settings.Entry{Instance: settings.Instance{Name: name, Zone: zone}}
	c.StoreLimits.WritesPerSecond = 1 / rowWriteShare // one write of rows a second
	c.SetDefaults()
	return New(Config{Settings: c, Records: s, Watcher: storeWatcher{s}})
}

// keepRow has a process keep the row of a stream and write it.
func keepRow(e *Entry, key streams.Key, origin streams.Origin) {
	e.streamStore.keep([]streams.Row{{Key: key, Origin: origin, Expires: time.Now().Add(time.Minute)}}, nil)
	e.streamStore.write(context.Background())
}

// checkStored checks what a process that has just started finds.
func checkStored(t *testing.T, s *platform.Store, key streams.Key, want streams.Origin, wantFound bool) {
	t.Helper()
	got, found, err := newStreamStoreEntry("new", "z9", s).storedOrigin(context.Background(), key)
	if err != nil || found != wantFound || got != want {
		t.Errorf("stream %d: found %v %v %v, want %v", key, got, found, err, want)
	}
}

var (
	originV1 = streams.Origin{Service: "llm", Software: "v1"}
	originV2 = streams.Origin{Service: "llm", Software: "v2"}
)

// TestNewWriterOfZoneKeepsRows guards against rows that are lost as another instance begins to write those of the zone,
// and against two that write at the same time and overwrite each other's rows.
func TestNewWriterOfZoneKeepsRows(t *testing.T) {
	s := platform.New(platform.Config{})
	first, second := newStreamStoreEntry("i-1", "z1", s), newStreamStoreEntry("i-2", "z1", s)
	keepRow(first, 1, originV1)
	keepRow(second, 2, originV2)
	keepRow(first, 3, originV2) // first still takes its own version for the stored one
	keepRow(newStreamStoreEntry("i-3", "z2", s), 4, originV1)
	for key, want := range map[streams.Key]streams.Origin{1: originV1, 2: originV2, 3: originV2, 4: originV1} {
		checkStored(t, s, key, want, true)
	}
	checkStored(t, s, 5, streams.Origin{}, false)
}

// TestRowsAreStoredAfterOutage checks that a write that failed is made up for, also if only its response was lost.
func TestRowsAreStoredAfterOutage(t *testing.T) {
	s := platform.New(platform.Config{})
	e := newStreamStoreEntry("i-1", "z1", s)
	s.SetFault(platform.Fault{Outage: true})
	keepRow(e, 1, originV1)
	if _, _, err := e.storedOrigin(context.Background(), 1); err == nil {
		t.Error("no error of a read during an outage")
	}
	s.SetFault(platform.Fault{})
	e.streamStore.write(context.Background())
	checkStored(t, s, 1, originV1, true)
	s.SetFault(platform.Fault{LoseResponses: 1})
	keepRow(e, 2, originV2)
	keepRow(e, 3, originV2)
	for key, want := range map[streams.Key]streams.Origin{1: originV1, 2: originV2, 3: originV2} {
		checkStored(t, s, key, want, true)
	}
}

// TestUnreadableObjectIsReplaced guards against a zone whose rows are never stored as its object can't be decoded, and
// against an object that hides those of other zones.
func TestUnreadableObjectIsReplaced(t *testing.T) {
	s := platform.New(platform.Config{})
	keepRow(newStreamStoreEntry("i-1", "z2", s), 1, originV1)
	for _, spec := range []string{`{"origins":[],"base":0,"records":"AAAA"}`, `[7]`} {
		o := store.Object{Kind: kindStreamOrigins, Name: "z1", Writer: "x", Spec: json.RawMessage(spec)}
		if _, err := s.Create(context.Background(), o); err != nil {
			t.Fatal(err)
		}
		checkStored(t, s, 1, originV1, true)
		keepRow(newStreamStoreEntry("i-2", "z1", s), 2, originV2)
		checkStored(t, s, 2, originV2, true)
		if err := s.Delete(context.Background(), kindStreamOrigins, "z1", 0, "x", store.NewNonce()); err != nil {
			t.Fatal(err)
		}
	}
}

// TestManyResumptionsShareOneRead guards against a read of all objects for each of many streams that are resumed at once.
func TestManyResumptionsShareOneRead(t *testing.T) {
	s := platform.New(platform.Config{})
	e := newStreamStoreEntry("i-1", "z1", s)
	keepRow(e, 1, originV1)
	s.SetFault(platform.Fault{Slow: 50 * time.Millisecond})
	before, start := s.Stats().Reads, time.Now()
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			if origin, found, err := e.storedOrigin(context.Background(), 1); origin != originV1 || !found || err != nil {
				t.Errorf("found %v %v %v", origin, found, err)
			}
		})
	}
	wg.Wait()
	if n, most := s.Stats().Reads-before, 1+time.Since(start)/storedReadInterval; n > uint64(most) {
		t.Errorf("%d reads, at most %d may be", n, most)
	}
}

// TestReadsOfManyRowsArePaced guards against instances that read megabytes a second from the store when it has the rows of
// very many streams and callers take them up one after the other.
func TestReadsOfManyRowsArePaced(t *testing.T) {
	s := platform.New(platform.Config{})
	e := newStreamStoreEntry("i-1", "z1", s)
	now, rows := time.Now(), []streams.Row(nil)
	for key := range streams.Key(5000) {
		rows = append(rows, streams.Row{Key: 1 + key, Origin: originV1, Expires: now.Add(time.Minute)})
	}
	e.streamStore.keep(rows, nil)
	e.streamStore.write(context.Background())
	o, err := s.Get(context.Background(), kindStreamOrigins, e.streamStore.objectName(streams.RecentRows))
	if err != nil {
		t.Fatal(err)
	}
	before, start := s.Stats().Reads, time.Now()
	for time.Since(start) < 1500*time.Millisecond {
		if _, found, err := e.storedOrigin(context.Background(), 7); !found || err != nil {
			t.Fatalf("found %v, error %v", found, err)
		}
	}
	reads, seconds := s.Stats().Reads-before, time.Since(start).Seconds()
	if most := 1 + seconds*maxReadBytesPerSecond/float64(len(o.Spec)); reads < 2 || float64(reads) > most {
		t.Errorf("%d reads of %d bytes in %.1f s, at most %.1f may be", reads, len(o.Spec), seconds, most)
	}
}

// TestSilentStoreDoesNotHoldRequests checks that a request doesn't wait for a store that never answers.
func TestSilentStoreDoesNotHoldRequests(t *testing.T) {
	s := platform.New(platform.Config{})
	e := newStreamStoreEntry("i-1", "z1", s)
	s.SetFault(platform.Fault{Hang: true})
	start := time.Now()
	_, found, err := e.storedOrigin(context.Background(), 1)
	if took := time.Since(start); found || err == nil || took > sharedReadTimeout+10*time.Second {
		t.Errorf("found %v, error %v, after %v", found, err, took)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, _, err := e.storedOrigin(ctx, 1); err == nil {
		t.Error("no error although the request has ended")
	}
}

// TestRunWritesDueRowsAndEndsWithProcess checks that rows of long streams in doubt are written, once a second at most, that
// those without doubt and of ended streams cause no call, and that those that aren't due yet are written at the stop.
func TestRunWritesDueRowsAndEndsWithProcess(t *testing.T) {
	s := platform.New(platform.Config{})
	e := newStreamStoreEntry("i-1", "z1", s)
	ctx, stop := context.WithCancel(context.Background())
	e.spawn(func() { e.streamStore.run(ctx) })
	began := func(key streams.Key, inDoubt bool) {
		e.streams.with(func(now time.Time, core *streams.Core) { core.Began(now, key, originV1, time.Minute, inDoubt) })
		e.streamStore.wakeUp()
	}
	began(1, false)
	began(2, true)
	e.streams.with(func(_ time.Time, core *streams.Core) { core.Ended(2) })
	time.Sleep(time.Second) // in which a row would be written
	if stats := s.Stats(); stats.Reads+stats.Writes > 0 {
		t.Errorf("calls without a row to keep: %+v", stats)
	}
	start := time.Now()
	for key := range streams.Key(20) {
		began(10+key, true)
		time.Sleep(50 * time.Millisecond)
	}
	for s.Stats().Writes == 0 && time.Since(start) < 20*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	if stats := s.Stats(); stats.Writes == 0 || stats.Writes > uint64(1+time.Since(start)/time.Second) || stats.Reads > 1 {
		t.Errorf("calls within %v: %+v", time.Since(start), stats)
	}
	began(3, true)
	stop()
	awaitEnd(t, e)
	for _, key := range []streams.Key{3, 10, 29} {
		checkStored(t, s, key, originV1, true)
	}
	checkStored(t, s, 1, streams.Origin{}, false)
	checkStored(t, s, 2, streams.Origin{}, false)
}

// TestRowsTakeTheirShareOfTheStoresWrites checks that rows that come without end are written as often as their share of the
// store's writes allows for one of several availability zones, and no more often.
func TestRowsTakeTheirShareOfTheStoresWrites(t *testing.T) {
	const writesPerSecond = 100
	s := platform.New(platform.Config{})
	e := newStreamStoreEntry("i-1", "z1", s)
	e.cfg.Settings.StoreLimits.WritesPerSecond = writesPerSecond
	ctx, stop := context.WithCancel(context.Background())
	e.spawn(func() { e.streamStore.run(ctx) })
	start := time.Now()
	for key := streams.Key(1); time.Since(start) < 2*time.Second; key++ {
		e.streams.with(func(now time.Time, core *streams.Core) { core.Announce(now, key, originV1, time.Minute, "r") })
		e.streamStore.wakeUp()
		time.Sleep(5 * time.Millisecond)
	}
	stats, allowed := s.Stats(), 1+time.Since(start).Seconds()*rowWriteShare*writesPerSecond
	if stats.Writes < 2 || float64(stats.Writes) > allowed || stats.Reads > 1 {
		t.Errorf("%+v within %v, at most %.1f writes are allowed", stats, time.Since(start), allowed)
	}
	stop()
	awaitEnd(t, e)
}

// TestRowIsStoredBeforeWaitEnds guards against a stream that goes on at another version after a loss of all instances: the
// wait for a row that has to be stored first ended without it, or never, while the store was away.
func TestRowIsStoredBeforeWaitEnds(t *testing.T) {
	s := platform.New(platform.Config{})
	first, e := newStreamStoreEntry("i-1", "z1", s), newStreamStoreEntry("i-2", "z1", s)
	keepRow(first, 1, originV1)
	ctx, stop := context.WithCancel(context.Background())
	e.spawn(func() { e.streamStore.run(ctx) })
	unknown := streams.Row{Key: 1, Expires: time.Now().Add(time.Minute)}
	if err := e.streamStore.storeRow(context.Background(), unknown); err != nil {
		t.Error(err)
	}
	checkStored(t, s, 1, streams.Origin{}, true)
	keepRow(first, 2, originV1) // first doesn't know of it
	checkStored(t, s, 1, streams.Origin{}, true)
	s.SetFault(platform.Fault{Hang: true})
	start := time.Now()
	if err := e.streamStore.storeRow(context.Background(), streams.Row{Key: 2, Expires: unknown.Expires}); err == nil {
		t.Error("no error although the store doesn't answer")
	}
	if took := time.Since(start); took > storeRowTimeout+10*time.Second {
		t.Errorf("waited %v", took)
	}
	stop()
	awaitEnd(t, e)
}
