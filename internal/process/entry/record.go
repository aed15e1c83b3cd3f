package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/metrics"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/request/retry"
)

const outcomeWhole = "whole"

// meters are the process's metrics.
type meters struct {
	scope tally.Scope

	mu       sync.Mutex
	counters map[string]tally.Counter
	latency  map[string]tally.Histogram
}

func newMeters(scope tally.Scope) *meters {
	return &meters{scope: scope, counters: make(map[string]tally.Counter), latency: make(map[string]tally.Histogram)}
}

// request counts the end of a request.
func (m *meters) request(route, outcome string, first time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := route + "\x00" + outcome
	c, ok := m.counters[key]
	if !ok {
		c = m.scope.Tagged(map[string]string{"route": route, "outcome": outcome}).Counter("requests")
		m.counters[key] = c
	}
	c.Inc(1)
	if outcome != outcomeWhole {
		return
	}
	h, ok := m.latency[route]
	if !ok {
		h = m.scope.Tagged(map[string]string{"route": route}).Histogram("first_piece_seconds", metrics.LatencyBuckets)
		m.latency[route] = h
	}
	h.RecordDuration(first)
}

// requestLog writes a line for each request. Plain successes above a rate are
// counted and left out.
type requestLog struct {
	mu      sync.Mutex
	perSec  int
	second  int64
	written int
	left    int
}

func newRequestLog(perSecond int) *requestLog { return &requestLog{perSec: perSecond} }

func (l *requestLog) setRate(perSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perSec = perSecond
}

// admit reports whether a plain success is written.
func (l *requestLog) admit(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn(now)
	if l.written >= l.perSec {
		l.left++
		return false
	}
	l.written++
	return true
}

// turn begins a new second and tells what the last one left out.
func (l *requestLog) turn(now time.Time) {
	if second := now.Unix(); second != l.second {
		if l.left > 0 {
			logline.Info("request lines left out", "count", l.left, "outcome", outcomeWhole)
		}
		l.second, l.written, l.left = second, 0, 0
	}
}

func (l *requestLog) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn(now)
}

// record writes the line of a request and counts it.
func (q *request) record(final *errkind.Error) {
	now := time.Now()
	outcome, run := outcomeWhole, errkind.Ran
	if final != nil {
		outcome, run = string(final.Kind), final.Run
	}
	route, version := "", uint64(0)
	if q.route != nil {
		route = q.route.Name
	}
	if q.config != nil {
		version = q.config.Version
	}
	took := now.Sub(q.arrived)
	q.e.meters.request(route, outcome, q.first)
	plain := final == nil && q.sends == 1
	if plain && !q.e.log.admit(now) {
		return
	}
	kv := []any{"request", q.declared.ID, "route", route, "config", version, "outcome", outcome, "run", run,
		"left_ms", q.declared.TimeLeft.Milliseconds(), "ms", took.Milliseconds(), "first_ms", q.first.Milliseconds(), "waited_ms", q.waited.Milliseconds(), "prefill_ms", q.prefill.Milliseconds(),
		"upstream", q.upstream, "sends", q.sends}
	if final != nil {
		kv = append(kv, "why", final.Error(), "retry_after_ms", final.RetryAfter.Milliseconds())
	}
	logline.Info("request", kv...)
}

// logFailedSend writes the decision after a failed send.
func (q *request) logFailedSend(choice place.Choice, out outcome, action retry.Action) {
	logline.Info("send failed", "request", q.declared.ID, "upstream", choice.Upstream.ID, "run", out.run,
		"load", choice.Load, "load_age_ms", choice.Age.Milliseconds(), "why", out.err, "then", action, "sends", q.sends)
}
