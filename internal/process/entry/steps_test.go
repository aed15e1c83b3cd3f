package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/request/exchange"
	"github.com/ragworttrestle/ragworttrestle/internal/version/routing"
)

// step is a step of a request whose prompt is prefilled separately. The fake dialect or the fake engine
// reports when the request reaches the step.
type step string

const (
	prefillSent     step = "the prefill is sent"
	prefillAnswered step = "the response to the prefill begins"
	prefillParsed   step = "the prefill has ended"
	runSent         step = "the request is sent"
	runArrived      step = "the request has arrived"
	runAnswered     step = "the response begins"
)

// stepDialect calls reached at each step of a request with a separate prefill.
type stepDialect struct {
	reached func(step)
	timeout time.Duration // time left that the caller declares
	readAt  time.Time     // when the header of the request was read
	kvFrom  string        // source of the KV cache in the last run that was sent
}

func (d *stepDialect) RequestInfo(http.Header) (exchange.RequestInfo, error) {
	d.readAt = time.Now()
	return exchange.RequestInfo{ID: "r1", TimeLeft: d.timeout, PromptTokens: 4000, MaxOutput: 10}, nil
}

func (d *stepDialect) Key(http.Header) (string, bool) { return "", false }

func (d *stepDialect) Outbound(h http.Header, s exchange.SendOptions) http.Header {
	out := h.Clone()
	if s.PrefillOnly {
		out.Set("Prompt-Only", "1")
		d.reached(prefillSent)
	} else {
		d.kvFrom = s.KVFrom
		d.reached(runSent)
	}
	return out
}

func (d *stepDialect) ResponseInfo(_ int, h http.Header) exchange.ResponseInfo {
	if h.Get("Prompt-Only") != "" {
		d.reached(prefillAnswered)
	} else {
		d.reached(runAnswered)
	}
	return exchange.ResponseInfo{RequestID: "r1", Executed: true}
}

func (d *stepDialect) ParsePrefillResult(body []byte) (exchange.PrefillResult, error) {
	d.reached(prefillParsed)
	var p exchange.PrefillResult
	return p, json.Unmarshal(body, &p)
}

func (d *stepDialect) KVSource(address, handle string) string { return address + "/" + handle }

// countingEngines counts released KV caches.
type countingEngines struct {
	Engines
	released atomic.Int32
}

func (c *countingEngines) OnResponse(func(fleet.Upstream, exchange.ResponseInfo)) {}

func (c *countingEngines) Release(context.Context, fleet.Upstream, string) error {
	c.released.Add(1)
	return nil
}

// engineServer starts a fake engine that serves prefills, and responds to runs with a short stream. It calls
// arrived when a run arrives. If arrived returns true, the engine writes nothing and waits until the request has ended. It
// counts the other runs in fetched. engineServer returns the engine's address.
func engineServer(t *testing.T, fetched *atomic.Int32, arrived func() (cut bool)) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Header.Get("Prompt-Only") != "" {
			w.Header().Set("Prompt-Only", "1")
			_, _ = io.WriteString(w, `{"Handle":"h1","Tokens":4000}`)
			return
		}
		if arrived() {
			awaitClientGone(t, r) // as if the request ended before the engine fetched the KV cache
			return
		}
		fetched.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// awaitClientGone waits until the client of a request to an engine has closed its connection.
func awaitClientGone(t *testing.T, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(noLimit):
		t.Error("the request to the engine wasn't ended")
	}
}

// Times of requests that are to end at a step.
const (
	noLimit     = 30 * time.Second      // time limit that doesn't pass before the request has ended otherwise
	firstLimit  = 50 * time.Millisecond // first time limit that is tried for a request that is to end by its deadline
	endMargin   = time.Millisecond      // in which the request notices that it was ended
	timerMargin = 10 * time.Millisecond // in which it notices that its deadline has passed
)

// TestRequestEndedAtAnyStepGetsNoEmptyResponse checks requests that end at one of the steps of an attempt
// with a separate prefill: because the deadline passes, the caller disconnects, or the process stops. No
// caller may get a success without a response of an upstream in it, and a KV cache that no engine fetches
// has to be released. As a timer may be late, "the time limit ends it" ends the request at the step itself, for the cause
// that a passed deadline has.
func TestRequestEndedAtAnyStepGetsNoEmptyResponse(t *testing.T) {
	ends := map[string]func(t *testing.T, at step) (reached bool){
		"the deadline passes": endAtStepByDeadline,
		"the time limit ends it": func(t *testing.T, at step) bool {
			return endAtStep(t, at, noLimit, func(p *stepPlay) { p.endBy(errTimeLimit) })
		},
		"the caller disconnects": func(t *testing.T, at step) bool {
			return endAtStep(t, at, noLimit, func(p *stepPlay) { p.endBy(context.Canceled); time.Sleep(endMargin) })
		},
		"the process stops": func(t *testing.T, at step) bool {
			return endAtStep(t, at, noLimit, func(p *stepPlay) { p.entry.cancelHardStop(); time.Sleep(endMargin) })
		},
	}
	for how, end := range ends {
		for _, at := range []step{prefillSent, prefillAnswered, prefillParsed, runSent, runArrived, runAnswered} {
			t.Run(how+" when "+string(at), func(t *testing.T) {
				if !end(t, at) {
					t.Error("no request reached the step before its end")
				}
			})
		}
	}
}

// endAtStepByDeadline plays requests whose deadline passes at the step at. How long a request takes to the step depends on
// the machine, so the time limit doubles until a request reaches the step within it. It reports whether one did.
func endAtStepByDeadline(t *testing.T, at step) (reached bool) {
	for limit := firstLimit; limit < noLimit; limit *= 2 {
		var inTime atomic.Bool
		endAtStep(t, at, limit, func(p *stepPlay) {
			inTime.Store(time.Since(p.begunAt) < limit)
			time.Sleep(time.Until(p.dialect.readAt.Add(limit + timerMargin)))
		})
		if inTime.Load() {
			return true
		}
	}
	return false
}

// stepPlay is a request that reaches a step.
type stepPlay struct {
	entry   *Entry
	dialect *stepDialect
	begunAt time.Time               // before the request arrived
	endBy   context.CancelCauseFunc // ends the request's context
}

// endAtStep plays one request with the given time limit and checks it: end is called when it reaches the step at. It
// reports whether the request reached the step.
func endAtStep(t *testing.T, at step, limit time.Duration, end func(*stepPlay)) (reached bool) {
	var fetched atomic.Int32
	var atStep, parsed atomic.Bool
	d := &stepDialect{timeout: limit}
	address := engineServer(t, &fetched, func() bool {
		d.reached(runArrived)
		return at == runArrived
	})
	engines := &countingEngines{}
	ctx, endBy := context.WithCancelCause(context.Background())
	defer endBy(context.Canceled)
	p := &stepPlay{entry: newStepEntry(d, engines, address), dialect: d, begunAt: time.Now(), endBy: endBy}
	var once sync.Once
	d.reached = func(s step) {
		if s == prefillParsed {
			parsed.Store(true)
		}
		if s == at {
			atStep.Store(true)
			once.Do(func() { end(p) })
		}
	}
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // serve panics to have the server abort the connection
		p.entry.serve(w, httptest.NewRequest(http.MethodPost, "/p/x", strings.NewReader("body")).WithContext(ctx))
		if w.Code == http.StatusOK && w.Body.Len() == 0 {
			t.Error("the caller got an empty success")
		}
	}()
	p.entry.goroutines.Wait()
	if (at == prefillParsed || at == runArrived) && parsed.Load() && engines.released.Load() == 0 && fetched.Load() == 0 {
		t.Error("the KV cache is neither fetched nor released")
	}
	return atStep.Load()
}

// newStepEntry returns an entry process that knows one prefilling engine, p, and one decoding engine, d, at
// the same address.
func newStepEntry(d exchange.Dialect, engines Engines, address string) *Entry {
	s := &settings.Entry{Instance: settings.Instance{Name: "i-1", Zone: "z1"}}
	s.SetDefaults()
	e := New(Config{Settings: s, Dialect: d, Engines: engines})
	e.state.install(routing.New(1, []routing.Route{{
		Name: "r", Host: "example.com", PathPrefix: "/p/", Kind: routing.Streaming, MaxAttempts: 1,
		Objective: 10 * time.Second, Timeout: 30 * time.Second, Targets: []routing.Target{{Service: "s", Weight: 1}},
	}}, []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 8, EventStride: 1}}}, routing.Limits{}))
	e.updateFleet(func(now time.Time, f *fleet.Core) {
		f.Put(now, fleet.Upstream{ID: "p", Service: "s", Address: address, Zone: "z1", Slots: 8, Role: upstream.RolePrefill})
		f.Put(now, fleet.Upstream{ID: "d", Service: "s", Address: address, Zone: "z1", Slots: 8, Role: upstream.RoleDecode})
	})
	recordVersions(e, "s", "")
	return e
}
