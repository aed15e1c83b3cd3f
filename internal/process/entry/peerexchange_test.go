package entry

import (
	"context"
	"testing"
	"time"

	store "github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// storeWatcher lists objects of a store that is never stale. There are no changes to watch.
type storeWatcher struct{ store *platform.Store }

// Changes implements RecordWatcher.
func (w storeWatcher) Changes(ctx context.Context, _ string, from uint64, _ time.Duration) ([]store.Event, uint64, error) {
	<-ctx.Done()
	return nil, from, ctx.Err()
}

// ListStale implements RecordWatcher.
func (w storeWatcher) ListStale(ctx context.Context, kind string) ([]store.Object, uint64, error) {
	return w.store.List(ctx, kind)
}

// newPeerTestEntry returns an entry process that knows upstream a of service s, and its peer exchange over
// the loopback interface, which isn't started.
func newPeerTestEntry(t *testing.T, name, zone string, store *platform.Store) (*Entry, *peerExchange) {
	return newPeerTestEntryAt(t, name, zone, testport.Address(t), store)
}

// newPeerTestEntryAt is like newPeerTestEntry, with the given address for other instances.
func newPeerTestEntryAt(t *testing.T, name, zone, address string, store *platform.Store) (*Entry, *peerExchange) {
	s := &settings.Entry{Instance: settings.Instance{Name: name, Zone: zone}, Listen: settings.EntryListen{Peers: address}}
	s.SetDefaults()
	e := New(Config{Settings: s, Records: store, Watcher: storeWatcher{store}})
	e.state.install(routing.New(1, nil, []routing.Service{{Name: "s"}}, routing.Limits{}))
	e.updateFleet(func(now time.Time, f *fleet.Core) {
		f.Put(now, fleet.Upstream{ID: "a", Service: "s", Slots: 8})
		e.state.listed = true
	})
	exchange, err := newPeerExchange(e)
	if err != nil {
		t.Fatal(err)
	}
	return e, exchange
}

// TestInstancesExchangeTheirLoad checks that an instance counts the request that another instance has in
// flight, until that instance has stopped. The two know each other only from the platform's list, and an
// instance that stops removes itself from that list.
func TestInstancesExchangeTheirLoad(t *testing.T) {
	store := platform.New(platform.Config{})
	sender, senderExchange := newPeerTestEntry(t, "i-1", "z1", store)
	receiver, receiverExchange := newPeerTestEntry(t, "i-2", "z2", store)
	ctx, cancel := context.WithCancel(context.Background())
	senderCtx, stopSender := context.WithCancel(ctx)
	sender.spawn(func() { senderExchange.run(senderCtx) })
	receiver.spawn(func() { receiverExchange.run(ctx) })
	sender.state.withTracker(time.Now(), func(tracker *place.Tracker) { tracker.Sent(time.Now(), "a", place.Serve) })
	awaitLoad := func(want float64) {
		t.Helper()
		for range 1000 {
			receiver.state.tick(time.Now())
			if receiver.state.loads(time.Now())["a"] == want {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("the other instance never counted %v requests", want)
	}
	awaitLoad(1)
	stopSender()
	awaitEnd(t, sender)
	if objects, _, err := store.List(ctx, kindPeer); err != nil || len(objects) != 1 {
		t.Errorf("%d instances listed after one has stopped (%v)", len(objects), err)
	}
	awaitLoad(0)
	cancel()
	awaitEnd(t, receiver)
}

// TestRemovedInstanceIsListedAgain checks that an instance that others have removed from the list, as it was
// paused or partitioned for long, announces itself again. Otherwise it would be missing from the list until
// its next start, and instances that start later wouldn't know it.
func TestRemovedInstanceIsListedAgain(t *testing.T) {
	store := platform.New(platform.Config{})
	e, s := newPeerTestEntry(t, "i-1", "z1", store)
	ctx, cancel := context.WithCancel(context.Background())
	e.spawn(func() { s.followMembers(ctx) })
	awaitListed := func() {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			objects, _, err := store.List(ctx, kindPeer)
			if err == nil && len(objects) == 1 {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%d instances listed (%v)", len(objects), err)
			}
			e.eraCtx.cancelCurrent() // makes the instance read the list now instead of a minute later
		}
	}
	awaitListed()
	if err := store.Delete(ctx, kindPeer, "i-1", 0, "i-2", "n"); err != nil {
		t.Fatal(err)
	}
	awaitListed()
	cancel()
	awaitEnd(t, e)
}
