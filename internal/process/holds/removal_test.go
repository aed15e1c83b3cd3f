package holds

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
	standin "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
)

// The tests in this file force the order of a complete answer and of the calls that store a hold. Work that was
// answered completely was refused at every instance until the end of its hold, because an instance stored the hold
// after another one, or itself, had removed it. The tests run in virtual time, so that the delays of calls determine
// their order.

// callDelays are the delays of one call of a slowStore.
type callDelays struct {
	effect   time.Duration // from the call until it takes effect
	answer   time.Duration // from then until its answer arrives
	lostAt   time.Duration // from the call until its answer is known to be lost; 0: it isn't lost
	rejected bool          // the call has no effect
}

// slowStore delays the calls of one instance. Calls without an entry take no time.
type slowStore struct {
	platform.Store
	background sync.WaitGroup

	mu       sync.Mutex
	delays   map[string][]callDelays // by method: of its next calls
	counts   map[string]int          // by method: calls made
	outageTo time.Time               // calls are rejected until then
}

func newSlowStore(t *testing.T, store platform.Store) *slowStore {
	s := &slowStore{Store: store, delays: make(map[string][]callDelays), counts: make(map[string]int)}
	t.Cleanup(s.background.Wait)
	return s
}

// next adds the delays of the next call of a method that has none yet.
func (s *slowStore) next(method string, d callDelays) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays[method] = append(s.delays[method], d)
}

// rejectFor lets the store reject all calls for some time.
func (s *slowStore) rejectFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageTo = time.Now().Add(d)
}

// calls returns the number of calls of a method.
func (s *slowStore) calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[method]
}

// take counts a call and returns its delays.
func (s *slowStore) take(method string) callDelays {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[method]++
	if time.Now().Before(s.outageTo) {
		return callDelays{rejected: true}
	}
	if len(s.delays[method]) == 0 {
		return callDelays{}
	}
	d := s.delays[method][0]
	s.delays[method] = s.delays[method][1:]
	return d
}

// run makes a call with its delays. A call that was sent takes effect even if ctx ends.
func (s *slowStore) run(ctx context.Context, method string, call func(ctx context.Context) error) error {
	d := s.take(method)
	if d.rejected {
		return errors.Wrap(platform.ErrUnavailable, "test")
	}
	answer := make(chan error, 1)
	s.background.Go(func() {
		time.Sleep(d.effect)
		err := call(context.WithoutCancel(ctx))
		time.Sleep(d.answer)
		answer <- err
	})
	lost := make(<-chan time.Time)
	if d.lostAt > 0 {
		lost = time.After(d.lostAt)
	}
	select {
	case err := <-answer:
		return err
	case <-lost:
	case <-ctx.Done():
	}
	return errors.Wrap(platform.ErrOutcomeUnknown, "test")
}

func (s *slowStore) Create(ctx context.Context, o platform.Object) (stored platform.Object, err error) {
	var result platform.Object
	if err = s.run(ctx, "create", func(ctx context.Context) (err error) { result, err = s.Store.Create(ctx, o); return err }); err == nil {
		stored = result
	}
	return stored, err
}

func (s *slowStore) Update(ctx context.Context, o platform.Object) (stored platform.Object, err error) {
	var result platform.Object
	if err = s.run(ctx, "update", func(ctx context.Context) (err error) { result, err = s.Store.Update(ctx, o); return err }); err == nil {
		stored = result
	}
	return stored, err
}

func (s *slowStore) Get(ctx context.Context, kind, name string) (stored platform.Object, err error) {
	var result platform.Object
	if err = s.run(ctx, "get", func(ctx context.Context) (err error) { result, err = s.Store.Get(ctx, kind, name); return err }); err == nil {
		stored = result
	}
	return stored, err
}

func (s *slowStore) Delete(ctx context.Context, kind, name string, ifVersion uint64, writer, nonce string) error {
	return s.run(ctx, "delete", func(ctx context.Context) error { return s.Store.Delete(ctx, kind, name, ifVersion, writer, nonce) })
}

// fleet is a group of instances with one platform.
type fleet struct {
	t         *testing.T
	store     *standin.Store
	instances []*member
	crashed   int // crashes so far, each at an incarnation of its own
}

// member is one instance of a fleet.
type member struct {
	*Keeper
	store    *slowStore
	stop     context.CancelFunc
	isolated bool                 // reports of crashes reach no other instance, and none reach this one
	latency  func() time.Duration // of reports of crashes to this instance; nil: none
}

// newFleet returns a fleet of n instances. Instances store holds for the crashes that others report after a delay.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, store: standin.New(standin.Config{})}
	for i := range n {
		f.instances = append(f.instances, f.start(fmt.Sprint("instance-", i), func(own bool) time.Duration {
			if own {
				return 0
			}
			return 3 * time.Second
		}))
	}
	return f
}

// start returns an instance that reports its crashes to all others of the fleet.
func (f *fleet) start(name string, storeDelay func(bool) time.Duration) *member {
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	m := &member{store: newSlowStore(f.t, f.store), stop: cancel}
	f.t.Cleanup(background.Wait)
	f.t.Cleanup(cancel)
	m.Keeper = New(Config{
		Instance: name, Store: m.store, Scope: tally.NoopScope, Background: ctx, StoreDelay: storeDelay,
		RunInBackground: func(run func()) { background.Go(run) },
		Broadcast:       func(crashes []quarantine.Crash) { f.report(m, crashes) },
	})
	return m
}

// report delivers crashes to all instances but the one that reports them.
func (f *fleet) report(from *member, crashes []quarantine.Crash) {
	for _, m := range f.instances {
		if m == from || m.isolated || from.isolated || m.cfg.Background.Err() != nil {
			continue
		}
		if m.latency == nil {
			f.deliver(m, crashes)
			continue
		}
		m.cfg.RunInBackground(func() {
			time.Sleep(m.latency())
			f.deliver(m, crashes)
		})
	}
}

// deliver delivers reports of crashes to an instance.
func (f *fleet) deliver(m *member, crashes []quarantine.Crash) {
	now := time.Now()
	decoded, err := quarantine.DecodeCrashes(now, quarantine.EncodeCrashes(now, crashes))
	if err != nil {
		f.t.Error(err)
	}
	m.MergeCrashes(now, decoded)
}

// follow lets instances follow the holds on the platform.
func (f *fleet) follow(members ...*member) {
	for _, m := range members {
		m.cfg.RunInBackground(func() { m.Follow(m.cfg.Background) })
	}
	synctest.Wait()
}

// crash records two crashes of the work at an instance.
func (f *fleet) crash(at *member) {
	for range 2 {
		f.crashed++
		incarnation := quarantine.Incarnation(fmt.Sprint("upstream", f.crashed))
		sent := time.Now()
		time.Sleep(150 * time.Millisecond)
		at.SendBroken(work, incarnation, sent)
		at.UpstreamEnded(incarnation, "test")
		time.Sleep(time.Millisecond)
	}
}

// checkCleared checks that the work is held nowhere and that there is no hold on the platform, from now on.
func (f *fleet) checkCleared(within time.Duration) {
	f.t.Helper()
	time.Sleep(within)
	for range 20 {
		if n := len(storedHolds(f.t, f.store)); n > 0 {
			f.t.Fatal("a hold is stored although the work was answered completely")
		}
		for _, m := range f.instances {
			if m.cfg.Background.Err() == nil && m.Held(work) {
				f.t.Fatalf("%s holds work that was answered completely", m.cfg.Instance)
			}
		}
		time.Sleep(time.Second)
	}
}

// checkHeld checks that a hold that began at the given time or later is on the platform and that the work is held at
// all instances, from now on.
func (f *fleet) checkHeld(began time.Time) {
	f.t.Helper()
	const firstHold = 10 * time.Minute
	for range 30 {
		time.Sleep(time.Second)
		stored := storedHolds(f.t, f.store)
		if len(stored) != 1 {
			f.t.Fatalf("%d holds stored, want 1", len(stored))
		}
		if _, hold, err := decodeHold(stored[0]); err != nil || hold.Until.Before(began.Add(firstHold).Truncate(time.Millisecond)) {
			f.t.Fatalf("the stored hold is the one from before the work was answered: ends at %v, began at %v: %v", hold.Until, began, err)
		}
		for _, m := range f.instances {
			if m.cfg.Background.Err() == nil && !m.Held(work) {
				f.t.Fatalf("%s doesn't hold work that crashed upstreams since it was answered", m.cfg.Instance)
			}
		}
	}
}

// settleTime is how long instances may take to remove a hold that was stored after the work was answered, with the
// delay of those that didn't store it and the time in which a write with a lost answer may take effect.
const settleTime = 12 * time.Second

// TestHoldStoredAroundSuccessIsRemoved guards against holds that stay on the platform although the work was answered
// completely: one instance stores the hold, and the work is answered before, while or after its call takes effect.
func TestHoldStoredAroundSuccessIsRemoved(t *testing.T) {
	ms := time.Millisecond
	for _, c := range []struct {
		name   string
		create callDelays
		answer time.Duration // when the work is answered, after the hold began
	}{
		{"before the create takes effect", callDelays{effect: time.Second}, 500 * ms},
		{"before the answer to the create", callDelays{answer: time.Second}, 500 * ms},
		{"after the answer to the create", callDelays{}, 500 * ms},
		{"outcome unknown before, effect after 1 s", callDelays{effect: time.Second, lostAt: 50 * ms}, 100 * ms},
		{"outcome unknown before, effect after 6 s", callDelays{effect: 6 * time.Second, lostAt: 50 * ms}, 100 * ms},
		{"outcome unknown after, effect after 1 s", callDelays{effect: time.Second, lostAt: 900 * ms}, 500 * ms},
		{"outcome unknown after, effect after 6 s", callDelays{effect: 6 * time.Second, lostAt: 1500 * ms}, 500 * ms},
		{"outcome unknown after the effect", callDelays{answer: 3 * time.Second, lostAt: 1500 * ms}, 500 * ms},
	} {
		for _, at := range []string{"the same instance", "another instance", "another instance, both follow the platform"} {
			t.Run(c.name+"/"+at, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 2)
					writer, answered := f.instances[0], f.instances[1]
					if at == "the same instance" {
						answered = writer
					}
					if at == "another instance, both follow the platform" {
						f.follow(f.instances...)
					}
					writer.store.next("create", c.create)
					f.crash(writer)
					time.Sleep(c.answer)
					answered.Succeeded(work)
					f.checkCleared(settleTime)
				})
			})
		}
	}
}

// TestAnsweredWorkIsNotStored guards against an instance that stores a hold although it learned before the call that
// the work was answered completely.
func TestAnsweredWorkIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		own, other := f.instances[0], f.instances[1]
		f.crash(own)
		time.Sleep(time.Second)
		own.Succeeded(work)
		f.checkCleared(settleTime)
		if n := other.store.calls("create"); n != 0 {
			t.Errorf("%d creates after the work was answered", n)
		}
	})
}

// TestHoldReadBeforeSuccessIsNotApplied guards against work that is held at one instance although it was answered
// completely: the instance found a hold of another one on the platform, and applied it after the answer had lifted it.
func TestHoldReadBeforeSuccessIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		first, second := f.instances[0], f.instances[1]
		second.store.next("get", callDelays{answer: time.Second})
		f.crash(first)
		time.Sleep(3500 * time.Millisecond) // the second instance has read the hold
		if second.store.calls("get") != 1 {
			t.Fatal("the hold was not read")
		}
		second.Succeeded(work)
		f.checkCleared(settleTime)
	})
}

// TestHoldOfStoppedInstanceIsRemoved guards against a hold that stays on the platform because the instance that has to
// remove it stops before it does. One that follows the platform and knows of the answer removes it.
func TestHoldOfStoppedInstanceIsRemoved(t *testing.T) {
	for name, run := range map[string]func(f *fleet, writer, answered *member){
		"stops after the create was sent": func(f *fleet, writer, answered *member) {
			writer.store.next("create", callDelays{effect: time.Second})
			f.crash(writer)
			time.Sleep(100 * time.Millisecond)
			answered.Succeeded(work)
			writer.stop()
		},
		"stops before the removal": func(f *fleet, writer, answered *member) {
			f.crash(writer)
			time.Sleep(time.Second)
			answered.store.next("delete", callDelays{rejected: true})
			answered.store.next("get", callDelays{rejected: true})
			answered.Succeeded(work)
			answered.stop()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				f.follow(f.instances...)
				run(f, f.instances[0], f.instances[1])
				f.checkCleared(settleTime)
			})
		})
	}
}

// TestUnwantedHoldOnListIsRemoved guards against a hold of an instance that stopped that stays because the others don't
// follow the holds on the platform, but list them now and then.
func TestUnwantedHoldOnListIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		writer := f.instances[0]
		writer.store.next("create", callDelays{effect: time.Second})
		f.crash(writer)
		f.instances[1].Succeeded(work)
		writer.stop()
		time.Sleep(20 * time.Second)
		list := storedHolds(t, f.store)
		if len(list) != 1 {
			t.Fatalf("%d holds stored, want that of the stopped instance", len(list))
		}
		for _, m := range f.instances[1:] {
			m.ApplyList(time.Now().Add(-10*time.Second), 1, list)
		}
		f.checkCleared(settleTime)
	})
}

// TestHoldStoredByUninformedInstanceIsRemoved guards against a hold that stays because the instance that stores it
// doesn't learn that the work was answered completely: it is cut off from the other instances, but not from the
// platform.
func TestHoldStoredByUninformedInstanceIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.follow(f.instances...)
		uninformed, informed := f.instances[0], f.instances[1]
		uninformed.store.next("create", callDelays{effect: 2 * time.Second})
		f.crash(uninformed) // all know the crashes
		uninformed.isolated = true
		informed.Succeeded(work)
		f.checkCleared(settleTime)
	})
}

// TestHoldKnownFromPlatformOnlyIsCleared guards against a hold that comes back because the instance that answered the
// work knew no crash of it, only the hold on the platform, so that it told no other instance of the answer.
func TestHoldKnownFromPlatformOnlyIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		first, second, answered := f.instances[0], f.instances[1], f.instances[2]
		answered.isolated = true
		second.store.next("create", callDelays{effect: 4 * time.Second})
		f.follow(answered)
		f.crash(first)
		time.Sleep(3500 * time.Millisecond) // the create of the second instance is on its way
		answered.isolated = false
		if !answered.Held(work) || second.store.calls("create") != 1 {
			t.Fatal("the hold is not known, or not written by the second instance")
		}
		answered.Succeeded(work)
		f.checkCleared(settleTime)
	})
}

// TestRemovalOutlastsOutage guards against a hold that stays because the platform rejected the calls that remove it.
func TestRemovalOutlastsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.follow(f.instances...)
		f.crash(f.instances[0])
		time.Sleep(5 * time.Second)
		for _, m := range f.instances {
			m.store.rejectFor(2 * time.Minute)
		}
		f.instances[0].Succeeded(work)
		time.Sleep(2 * time.Minute)
		f.checkCleared(settleTime)
	})
}

// TestRemovalWithLostAnswer guards against a hold that stays because the answer to its removal was lost.
func TestRemovalWithLostAnswer(t *testing.T) {
	for name, d := range map[string]callDelays{
		"done later": {effect: 5 * time.Second, lostAt: 100 * time.Millisecond},
		"done":       {answer: 5 * time.Second, lostAt: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1)
				f.crash(f.instances[0])
				time.Sleep(time.Second)
				f.instances[0].store.next("delete", d)
				f.instances[0].Succeeded(work)
				f.checkCleared(settleTime)
			})
		})
	}
}

// TestHoldThatBeginsAgainStays guards against the removal of the hold of work that crashes upstreams again after it
// was answered completely, while the hold from before the answer is being stored or removed.
func TestHoldThatBeginsAgainStays(t *testing.T) {
	ms := time.Millisecond
	for _, c := range []struct {
		name          string
		create        callDelays // of the first hold
		get, del      callDelays // of the calls that remove it
		answer, again time.Duration
	}{
		{name: "first hold on its way", create: callDelays{effect: 2 * time.Second}, answer: 500 * ms},
		{name: "first hold unknown", create: callDelays{effect: 3 * time.Second, lostAt: 100 * ms}, answer: 500 * ms},
		{name: "first hold stored", answer: 500 * ms},
		{name: "removal on its way", answer: 500 * ms, get: callDelays{effect: time.Second}, del: callDelays{effect: 2 * time.Second}},
		{name: "removal unknown", answer: 500 * ms, get: callDelays{answer: time.Second}, del: callDelays{effect: 5 * time.Second, lostAt: 100 * ms}},
		{name: "removed", answer: 500 * ms, again: 5 * time.Second},
		{name: "removal of a late write on its way", create: callDelays{effect: time.Second}, answer: 500 * ms, again: time.Second, del: callDelays{effect: 3 * time.Second}},
	} {
		for _, follows := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/follows=%t", c.name, follows), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 3)
					first, answered, last := f.instances[0], f.instances[1], f.instances[2]
					if follows {
						f.follow(f.instances...)
					}
					first.store.next("create", c.create)
					for _, m := range []*member{first, answered} {
						m.store.next("get", c.get)
						m.store.next("delete", c.del)
					}
					f.crash(first)
					time.Sleep(c.answer)
					answered.Succeeded(work)
					time.Sleep(c.again)
					began := time.Now()
					f.crash(last)
					time.Sleep(settleTime)
					f.checkHeld(began)
				})
			})
		}
	}
}

// TestUnwantedRecordIsOverwritten guards against a hold that isn't stored because the record of the hold from before
// the work was answered completely is still on the platform.
func TestUnwantedRecordIsOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		k := f.instances[0]
		f.crash(k)
		time.Sleep(time.Second)
		k.store.next("delete", callDelays{effect: 3 * time.Second})
		k.Succeeded(work)
		began := time.Now()
		f.crash(k)
		time.Sleep(settleTime)
		f.checkHeld(began)
	})
}

// TestHoldFromRestoredPlatformIsRemoved guards against work that is held again because the platform was restored from a
// copy that has the hold from before the work was answered completely.
func TestHoldFromRestoredPlatformIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		k := f.instances[0]
		f.crash(k)
		time.Sleep(time.Second)
		older := storedHolds(t, f.store)
		k.Succeeded(work)
		f.checkCleared(settleTime)
		older[0].Version = platform.VersionOf(1, older[0].Version)
		k.Replace(platform.VersionOf(1, 7), older)
		if k.Held(work) {
			t.Error("held again")
		}
	})
}

// TestHoldsCostNoCallsAtRest checks that cleared work costs no calls of the platform after its hold was removed, and
// that work that isn't answered costs no call but the one that stores its hold.
func TestHoldsCostNoCallsAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.follow(f.instances...)
		f.crash(f.instances[0])
		time.Sleep(time.Minute)
		calls := func() (n int) {
			for _, m := range f.instances {
				n += m.store.calls("create") + m.store.calls("get") + m.store.calls("update") + m.store.calls("delete")
			}
			return n
		}
		if n := calls(); n != 1 {
			t.Errorf("%d calls while the work is held, want 1", n)
		}
		f.instances[1].Succeeded(work)
		time.Sleep(time.Minute)
		if n := calls(); n != 2 {
			t.Errorf("%d calls with those that remove the hold, want 2", n)
		}
		time.Sleep(30 * time.Minute)
		if n := calls(); n != 2 {
			t.Errorf("%d calls half an hour later, want 2", n)
		}
	})
}

// TestHoldsWithRandomDelays guards against orders of events that the other tests don't force. An instance detects
// crashes, another one gets a complete answer, and a third one may detect crashes again; all calls and reports take
// random times, and some answers are lost.
func TestHoldsWithRandomDelays(t *testing.T) {
	const seeds = 300
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runWithRandomDelays(t, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

// runWithRandomDelays runs one case of TestHoldsWithRandomDelays.
func runWithRandomDelays(t *testing.T, rng *rand.Rand) {
	const (
		maxReportLatency = 500 * time.Millisecond
		maxLateEffect    = 6 * time.Second
	)
	upTo := func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit))) }
	f := newFleet(t, 4)
	for _, m := range f.instances {
		latencies := []time.Duration{upTo(maxReportLatency), upTo(maxReportLatency), upTo(maxReportLatency), upTo(maxReportLatency)}
		var delivered atomic.Int64
		m.latency = func() time.Duration { return latencies[delivered.Add(1)%int64(len(latencies))] }
		for _, method := range []string{"create", "get", "update", "delete"} {
			for range 4 {
				d := callDelays{effect: upTo(time.Second), answer: upTo(time.Second)}
				if rng.IntN(3) == 0 {
					d = callDelays{effect: upTo(maxLateEffect), lostAt: 1 + upTo(1500*time.Millisecond)}
				}
				m.store.next(method, d)
			}
		}
		if rng.IntN(2) == 0 {
			f.follow(m)
		}
	}
	f.crash(f.instances[rng.IntN(4)])
	time.Sleep(maxReportLatency + upTo(4*time.Second))
	answered := f.instances[rng.IntN(4)]
	answered.Succeeded(work)
	if rng.IntN(2) == 0 {
		f.checkCleared(3 * settleTime)
		return
	}
	time.Sleep(maxReportLatency + upTo(4*time.Second))
	began := time.Now()
	f.crash(f.instances[rng.IntN(4)])
	time.Sleep(3 * settleTime)
	f.checkHeld(began)
}

// TestRemovalCallsAreBounded checks that the search for a record that a write with a lost answer may create ends after a
// few calls, if the write has no effect.
func TestRemovalCallsAreBounded(t *testing.T) {
	const maxReads = 10
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		k := f.instances[0]
		k.store.next("create", callDelays{effect: 24 * time.Hour, lostAt: 50 * time.Millisecond})
		f.crash(k)
		k.Succeeded(work)
		time.Sleep(time.Minute)
		reads := k.store.calls("get")
		if reads == 0 || reads > maxReads || k.store.calls("delete") > 0 {
			t.Errorf("%d reads, %d deletions; want at most %d and 0", reads, k.store.calls("delete"), maxReads)
		}
		time.Sleep(10 * time.Minute)
		if n := k.store.calls("get"); n != reads {
			t.Errorf("%d reads later", n-reads)
		}
	})
}
