package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	storeplatform "github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/process/roles"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
)

// TestClientReplacesPlaceAtLeavingUpstream checks that an instance that knows from a response that an
// upstream is leaving gets places at another upstream, although the placer doesn't know yet that the
// upstream is leaving. The instance has to inform the placer and return the places that it doesn't use.
func TestClientReplacesPlaceAtLeavingUpstream(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprintf("client has a list: %v", listed), func(t *testing.T) {
			placer, client := startTestZone(t, 2)
			for _, e := range []*Entry{placer, client} {
				e.updateFleet(func(now time.Time, f *fleet.Core) {
					f.Put(now, fleet.Upstream{ID: "b", Service: "s", Slots: 8})
				})
			}
			if !listed {
				client.state.forgetUpstreams(time.Now())
			}
			client.state.markLeaving(time.Now(), time.Now(), "a")
			for i := range 6 {
				q, query := newTestRequest(client, fmt.Sprint("q", i), 10*time.Second)
				d, held, err := q.findPlace(context.Background(), query)
				if err != nil || d.Refused != "" || held.upstream().ID != "b" {
					t.Fatalf("%+v %+v %v, want a place at the other upstream", d, held, err)
				}
			}
			eventually(t, "the placer knows", func() bool { return placer.state.isLeaving("a") })
			eventually(t, "no place is counted at the leaving upstream", func() bool { return countedLoad(placer) == 0 })
		})
	}
}

// TestClientReplacesPlaceAtBackingOffUpstream checks that an instance that knows that an upstream asked for
// a backoff gets places at another upstream, although the placer doesn't know about the backoff yet. The
// instance has to inform the placer and return the places that it doesn't use.
func TestClientReplacesPlaceAtBackingOffUpstream(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprintf("client has a list: %v", listed), func(t *testing.T) {
			placer, client := startTestZone(t, 2)
			for _, e := range []*Entry{placer, client} {
				e.updateFleet(func(now time.Time, f *fleet.Core) {
					f.Put(now, fleet.Upstream{ID: "b", Service: "s", Slots: 8})
				})
			}
			if !listed {
				client.state.forgetUpstreams(time.Now())
			}
			now := time.Now()
			client.state.withTracker(now, func(tracker *place.Tracker) { tracker.Rejected(now, "a", time.Minute) })
			for i := range 6 {
				q, query := newTestRequest(client, fmt.Sprint("q", i), 10*time.Second)
				d, held, err := q.findPlace(context.Background(), query)
				if err != nil || d.Refused != "" || held.upstream().ID != "b" {
					t.Fatalf("%+v %+v %v, want a place at the other upstream", d, held, err)
				}
			}
			eventually(t, "the placer knows", func() bool { return placer.state.backoffLeft(time.Now(), "a") > 0 })
			eventually(t, "no place is counted at the upstream that backs off", func() bool { return countedLoad(placer) == 0 })
		})
	}
}

// TestRejectionIsReportedToPlacer checks that the placer learns of a rejection with a backoff while the
// rejected request still holds its place, and that a place at the same upstream that another request got
// before isn't used.
func TestRejectionIsReportedToPlacer(t *testing.T) {
	placer, client := startTestZone(t, 2)
	_, _, earlier := acquireTestPlace(t, client, 10*time.Second)
	_, _, held := acquireTestPlace(t, client, 10*time.Second)
	info := exchange.ResponseInfo{NotRun: true, Backoff: &exchange.Backoff{Duration: time.Minute, Valid: true}}
	client.recordEvents(held, responseEvents(http.StatusServiceUnavailable, info, false)...)
	eventually(t, "the placer knows", func() bool { return placer.state.backoffLeft(time.Now(), "a") > 0 })
	if client.checkUsable(earlier) != errBackingOff {
		t.Error("a place decided on earlier is still used")
	}
}

// TestResponseEvents checks the first and the last event that a response leads to. An engine that rejects a
// request with a KV cache to fetch isn't necessarily overloaded, so that event isn't Rejected unless the
// engine asks for a backoff.
func TestResponseEvents(t *testing.T) {
	backoff := &exchange.Backoff{Duration: time.Second, Valid: true}
	rejected, answered := place.Event{Kind: place.Rejected}, place.Event{Kind: place.Answered}
	backingOff := place.Event{Kind: place.Rejected, Duration: time.Second}
	for _, c := range []struct {
		name     string
		status   int
		info     exchange.ResponseInfo
		fetching bool
		want     place.Event // the first one
	}{
		{"refused", http.StatusServiceUnavailable, exchange.ResponseInfo{NotRun: true}, false, rejected},
		{"refused with a backoff", http.StatusServiceUnavailable, exchange.ResponseInfo{NotRun: true, Backoff: backoff}, false, backingOff},
		{"perhaps run, with a backoff", http.StatusServiceUnavailable, exchange.ResponseInfo{Backoff: backoff}, false, backingOff},
		{"unreadable backoff", http.StatusServiceUnavailable, exchange.ResponseInfo{NotRun: true, Backoff: &exchange.Backoff{}}, false, rejected},
		{"too many requests", http.StatusTooManyRequests, exchange.ResponseInfo{NotRun: true}, false, rejected},
		{"no KV cache", http.StatusServiceUnavailable, exchange.ResponseInfo{NotRun: true}, true, place.Event{Kind: place.KVFetchFailed}},
		{"no KV cache, with a backoff", http.StatusServiceUnavailable, exchange.ResponseInfo{NotRun: true, Backoff: backoff}, true, backingOff},
		{"perhaps run", http.StatusServiceUnavailable, exchange.ResponseInfo{}, false, answered},
		{"served", http.StatusOK, exchange.ResponseInfo{}, false, answered},
	} {
		if got := responseEvents(c.status, c.info, c.fetching); got[0] != c.want || got[len(got)-1] != answered {
			t.Errorf("%s: %+v, want %+v first", c.name, got, c.want)
		}
	}
}

// TestLeavingIsReportedToPlacer checks that the placer learns that an upstream is leaving if a response to
// another instance says so, and that this other instance doesn't use a place at that upstream any more.
func TestLeavingIsReportedToPlacer(t *testing.T) {
	placer, client := startTestZone(t, 2)
	q, _, held := acquireTestPlace(t, client, 10*time.Second)
	q.handleNotices(held, time.Now(), exchange.ResponseInfo{Leaving: true})
	eventually(t, "the placer knows", func() bool { return placer.state.isLeaving("a") })
	if client.checkUsable(held) == nil {
		t.Error("a place decided on earlier is still used")
	}
	client.release(held)
	eventually(t, "no place is counted", func() bool { return countedLoad(placer) == 0 })
}

// TestPromptIsPrefilledOnceIfItsDecoderLeaves checks that a prompt is not prefilled again if the decoding
// engine at which a place is reserved starts to leave during the prefill. Another decoding engine has to
// fetch the KV cache instead.
func TestPromptIsPrefilledOnceIfItsDecoderLeaves(t *testing.T) {
	var fetched atomic.Int32
	d := &stepDialect{timeout: 30 * time.Second}
	address := engineServer(t, &fetched, func() bool { return false })
	e := newStepEntry(d, &countingEngines{}, address)
	e.updateFleet(func(now time.Time, f *fleet.Core) {
		f.Put(now, fleet.Upstream{ID: "d2", Service: "s", Address: address, Zone: "z1", Slots: 8, Role: upstream.RoleDecode})
	})
	prefills, leaving := 0, fleet.Incarnation("")
	d.reached = func(s step) {
		if s != prefillParsed {
			return
		}
		prefills++
		for incarnation, n := range e.state.loads(time.Now()) {
			if n > 0 && incarnation != "p" {
				leaving = incarnation // the engine of the reserved place
			}
		}
		e.state.markLeaving(time.Now(), time.Now(), leaving)
	}
	w := httptest.NewRecorder()
	q, _ := e.prepare(w, httptest.NewRequest(http.MethodPost, "http://example.com/p/x", strings.NewReader("body")), time.Now())
	q.finish(q.execute(context.Background()))
	if w.Code != http.StatusOK || prefills != 1 || fetched.Load() != 1 || d.kvFrom == "" || q.lastUpstream == string(leaving) || leaving == "" {
		t.Errorf("status %d, %d prefills, %d runs, KV cache from %q, decoded at %q, leaving %q", w.Code, prefills, fetched.Load(), d.kvFrom, q.lastUpstream, leaving)
	}
	for incarnation, n := range e.state.loads(time.Now()) {
		if n != 0 {
			t.Errorf("%v requests are counted at %s in the end", n, incarnation)
		}
	}
}

// TestRejectedPrefillCountsAsRetry checks that a send after a rejected prefill counts as a retry, as the
// prefill was the first arrival of its request. Without that, a service whose engines rejected prefills got
// three times the allowed retries.
func TestRejectedPrefillCountsAsRetry(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		t.Run(fmt.Sprintf("retry allowed: %v", allowed), func(t *testing.T) {
			var arrivals atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				if r.Header.Get("Prompt-Only") != "" {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
			}))
			defer server.Close()
			d := &refusingDialect{stepDialect{timeout: 30 * time.Second, reached: func(step) {}}}
			e := newStepEntry(d, &countingEngines{}, strings.TrimPrefix(server.URL, "http://"))
			e.state.bounds.RetryRatio, e.state.bounds.RetrySlack = 0, 0
			if allowed {
				e.state.bounds.RetrySlack = 10 * peers.AssumedInstances
			}
			w := httptest.NewRecorder()
			q, _ := e.prepare(w, httptest.NewRequest(http.MethodPost, "http://example.com/p/x", strings.NewReader("body")), time.Now())
			q.finish(q.execute(context.Background()))
			status, sends := http.StatusServiceUnavailable, int32(1)
			if allowed {
				status, sends = http.StatusOK, 2
			}
			if w.Code != status || arrivals.Load() != sends || (!allowed && q.runState != errkind.NotRun) {
				t.Errorf("status %d after %d arrivals, %s, want %d after %d", w.Code, arrivals.Load(), q.runState, status, sends)
			}
		})
	}
}

// refusingDialect takes each response with status 503 for a rejection.
type refusingDialect struct{ stepDialect }

func (d *refusingDialect) ResponseInfo(status int, h http.Header) exchange.ResponseInfo {
	info := d.stepDialect.ResponseInfo(status, h)
	info.NotRun = status == http.StatusServiceUnavailable
	return info
}

// TestNoticesToOwnCallsAreObserved checks that a response to one of the process's own calls to an engine is
// evaluated like one to a request: an engine that reports in it that it is leaving, or asks for a backoff,
// gets neither requests nor orders.
func TestNoticesToOwnCallsAreObserved(t *testing.T) {
	for _, info := range []exchange.ResponseInfo{
		{},
		{Leaving: true},
		{Backoff: &exchange.Backoff{Duration: time.Minute, Valid: true}},
	} {
		engines := &orderCountingEngines{}
		e := newStepEntry(&stepDialect{reached: func(step) {}}, engines, "127.0.0.1:1")
		u := fleet.Upstream{ID: "d", Service: "s", Role: upstream.RoleDecode}
		e.handleOwnCallNotices(u, info)
		excluded := info.Leaving || info.Backoff != nil
		if c, ok := pickDecoder(e); ok == excluded {
			t.Errorf("%+v: place found: %v, at %q", info, ok, c.Upstream.ID)
		}
		rc := newRoleController(e)
		rc.lease = acquireTestLease(t)
		sent := rc.sendOrder(context.Background(), u, roles.Change{ID: "d", To: upstream.RolePrefill})
		if sent == excluded || (engines.orders > 0) == excluded {
			t.Errorf("%+v: order sent: %v, %d received", info, sent, engines.orders)
		}
	}
}

// acquireTestLease returns a lease that this process has just acquired.
func acquireTestLease(t *testing.T) *lease {
	t.Helper()
	record := &singleRecordStore{o: storeplatform.Object{Version: 1, Spec: []byte(`{"holder":"x","epoch":3,"ttlMS":0}`)}}
	l := newLease(record, func() uint64 { return 0 }, "i-1", time.Second, true)
	l.setCandidate(context.Background(), 0, true)
	eventually(t, "the lease is held", func() bool {
		l.tick(context.Background())
		_, ok := l.orderFence()
		return ok
	})
	return l
}

// orderCountingEngines counts the orders sent to engines, and accepts them.
type orderCountingEngines struct {
	countingEngines
	orders int
}

func (o *orderCountingEngines) State(context.Context, fleet.Upstream) (EngineState, error) {
	return EngineState{Role: upstream.RoleDecode}, nil
}

func (o *orderCountingEngines) SetRole(context.Context, fleet.Upstream, upstream.Role, uint64, string, uint64) (OrderResult, error) {
	o.orders++
	return OrderAccepted, nil
}

// pickDecoder picks a decoding engine for a request that arrives now.
func pickDecoder(e *Entry) (choice place.Choice, ok bool) {
	now := time.Now()
	q := place.Query{ID: "q", Service: "s", Zone: "z1", Work: place.Decode, Arrived: now, StartBy: now.Add(time.Second)}
	e.state.withTracker(now, func(t *place.Tracker) { choice, ok = t.Pick(now, &q) })
	return choice, ok
}
