package entry

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/metrics"
	"github.com/ragworttrestle/ragworttrestle/internal/request/place"
	"github.com/ragworttrestle/ragworttrestle/internal/request/response"
	"github.com/ragworttrestle/ragworttrestle/internal/request/retry"
)

// outcomeCompleted is the outcome, in log lines and metrics, of a request whose whole response was written
// to the caller. Other requests have the kind of their error as outcome.
const outcomeCompleted = "whole"

// entryMetrics records the metrics of the process.
type entryMetrics struct {
	scope tally.Scope

	mu                sync.Mutex
	counters          map[string]tally.Counter
	endings           map[response.Ending]tally.Counter
	refusals          map[string]tally.Counter
	firstEventLatency map[string]tally.Histogram
}

func newEntryMetrics(scope tally.Scope) *entryMetrics {
	return &entryMetrics{scope: scope, counters: make(map[string]tally.Counter), endings: make(map[response.Ending]tally.Counter), refusals: make(map[string]tally.Counter), firstEventLatency: make(map[string]tally.Histogram)}
}

// countRequest counts a finished request. firstEvent is the time until the first event of the response;
// it is recorded only for completed requests.
func (m *entryMetrics) countRequest(route, outcome string, firstEvent time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := route + "\x00" + outcome
	c, ok := m.counters[key]
	if !ok {
		c = m.scope.Tagged(map[string]string{"route": route, "outcome": outcome}).Counter("requests")
		m.counters[key] = c
	}
	c.Inc(1)
	if outcome != outcomeCompleted {
		return
	}
	h, ok := m.firstEventLatency[route]
	if !ok {
		h = m.scope.Tagged(map[string]string{"route": route}).Histogram("first_piece_seconds", metrics.LatencyBuckets)
		m.firstEventLatency[route] = h
	}
	h.RecordDuration(firstEvent)
}

// countEnding counts a response by how it ended.
func (m *entryMetrics) countEnding(ending response.Ending) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.endings[ending]
	if !ok {
		c = m.scope.Tagged(map[string]string{"ended": string(ending)}).Counter("responses")
		m.endings[ending] = c
	}
	c.Inc(1)
}

// Kinds of platform objects whose unreadable entries are counted.
const (
	metricKindUpstreams = "upstreams"
	metricKindConfig    = "configuration"
)

// countUnreadable counts an entry of the platform that can't be used.
func (m *entryMetrics) countUnreadable(kind string) {
	m.scope.Tagged(map[string]string{"kind": kind}).Counter("entries_unreadable").Inc(1)
}

// countStall counts a time in which this process did not run.
func (m *entryMetrics) countStall() { m.scope.Counter("stalls").Inc(1) }

// setCutOff sets whether this instance is cut off from most upstreams.
func (m *entryMetrics) setCutOff(cutOff bool) {
	value := 0.0
	if cutOff {
		value = 1
	}
	m.scope.Gauge("cut_off").Update(value)
}

// countRelayed counts a send through another instance.
func (m *entryMetrics) countRelayed() { m.scope.Counter("sends_relayed").Inc(1) }

// setLimitedUpstreams sets the number of upstreams with a limit on requests per second.
func (m *entryMetrics) setLimitedUpstreams(n int) {
	m.scope.Gauge("upstreams_limited").Update(float64(n))
}

// setPeersReachable sets whether the sockets for other instances are open.
func (m *entryMetrics) setPeersReachable(open bool) {
	value := 0.0
	if open {
		value = 1
	}
	m.scope.Gauge("peer_sockets_open").Update(value)
}

// setBackingOffUpstreams sets the number of upstreams that are backing off.
func (m *entryMetrics) setBackingOffUpstreams(n int) {
	m.scope.Gauge("upstreams_resting").Update(float64(n))
}

// setLimitShare sets the share of each limit that this process may use.
func (m *entryMetrics) setLimitShare(share float64) {
	m.scope.Gauge("upstream_limit_share").Update(share)
}

// metricDutyUsage is the name, in metrics, of the duty to report usage.
const metricDutyUsage = "usage"

// countDutyCall counts a call of a duty by its result.
func (m *entryMetrics) countDutyCall(name, result string) {
	m.scope.Tagged(map[string]string{"duty": name, "result": result}).Counter("duty_calls").Inc(1)
}

// countRefusal counts the refusal of a place, by the work that the place was for and by the reason.
func (m *entryMetrics) countRefusal(route string, d *place.Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := route + "\x00" + string(d.Details.Work) + "\x00" + string(d.Refused)
	c, ok := m.refusals[key]
	if !ok {
		c = m.scope.Tagged(map[string]string{"route": route, "work": string(d.Details.Work), "reason": string(d.Refused)}).Counter("places_refused")
		m.refusals[key] = c
	}
	c.Inc(1)
}

// otherLinesPerSecond limits the log lines of requests that aren't plain successes. Even in a surge of
// three times the usual load, an instance writes fewer such lines.
const otherLinesPerSecond = 500

// requestLog limits the log lines about finished requests in each second: those of plain successes as the
// settings say, all others to otherLinesPerSecond. Omitted lines are counted by outcome, and the counts
// are logged when the next second begins.
type requestLog struct {
	mu        sync.Mutex
	successes lineBudget
	others    lineBudget
	second    int64          // Unix time that the budgets are for
	omitted   map[string]int // lines omitted in that second, by outcome
}

// lineBudget limits the lines of one second.
type lineBudget struct {
	allowed int
	written int
}

// take reports whether one more line may be written, and counts it.
func (b *lineBudget) take() bool {
	if b.written >= b.allowed {
		return false
	}
	b.written++
	return true
}

func newRequestLog(perSecond int) *requestLog {
	return &requestLog{
		successes: lineBudget{allowed: perSecond},
		others:    lineBudget{allowed: otherLinesPerSecond},
		omitted:   make(map[string]int),
	}
}

// setRate sets the limit for plain successes.
func (l *requestLog) setRate(perSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.successes.allowed = perSecond
}

// admit reports whether the line of a request is written. plainSuccess: it completed with one send.
func (l *requestLog) admit(now time.Time, outcome string, plainSuccess bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startSecond(now)
	budget := &l.others
	if plainSuccess {
		budget = &l.successes
	}
	if budget.take() {
		return true
	}
	l.omitted[outcome]++
	return false
}

// startSecond resets the budgets if a new second has begun, and logs how many lines were omitted in the
// last one. Callers hold the lock.
func (l *requestLog) startSecond(now time.Time) {
	second := now.Unix()
	if second == l.second {
		return
	}
	for outcome, n := range l.omitted {
		logline.Info("request lines left out", "count", n, "outcome", outcome)
	}
	clear(l.omitted)
	l.second, l.successes.written, l.others.written = second, 0, 0
}

// tick has omitted lines logged even if no further request ends.
func (l *requestLog) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startSecond(now)
}

// recordEnd logs and counts the end of a request. final is nil if an upstream's response was written to its end.
func (q *request) recordEnd(ending response.Ending, final *errkind.Error) {
	now := time.Now()
	outcome, run := outcomeCompleted, errkind.Ran
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
	q.e.metrics.countRequest(route, outcome, q.firstEventAfter)
	q.e.metrics.countEnding(ending)
	if q.refusal != nil {
		q.e.metrics.countRefusal(route, q.refusal)
	}
	if !q.e.requestLog.admit(now, outcome, final == nil && q.sends == 1) {
		return
	}
	fields := []any{"request", q.info.ID, "route", route, "account", q.account.NameOrNone(), "config", version, "outcome", outcome, "ended", ending, "run", run,
		"left_ms", q.info.TimeLeft.Milliseconds(), "ms", took.Milliseconds(), "first_ms", q.firstEventAfter.Milliseconds(), "waited_ms", q.placeWait.Milliseconds(), "prefill_ms", q.prefillTime.Milliseconds(),
		"upstream", q.lastUpstream, "sends", q.sends, "prefills", q.prefills, "counted_retries", q.countedRetries, "retry_wait_ms", q.longestRetryWait.Milliseconds()}
	if final != nil {
		fields = append(fields, "why", final.Error(), "retry_after_ms", final.RetryAfter.Milliseconds())
	}
	if q.sends > 0 {
		fields = append(fields, q.response.fields()...)
	}
	if q.resumption != nil {
		fields = append(fields, q.resumption.fields(q.info.Resumes)...)
	}
	if q.relay != "" {
		fields = append(fields, "through", q.relay)
	}
	if q.sends > 1 || (final != nil && q.sends > 0) {
		fields = append(fields, "content", q.content()) // identifies lines of other attempts at the same work
	}
	if q.refusal != nil {
		fields = append(fields, refusalFields(&q.refusal.Details)...)
	}
	logline.Info("request", fields...)
}

// fields returns the log fields with what the caller got of upstreams' responses.
func (r *responseRelay) fields() []any {
	events, ofLastSend, statusSend := r.core.Counts()
	return []any{"status", r.status, "status_send", statusSend, "framing", r.framing, "events", events, "last_events", ofLastSend}
}

// logContinuedStream logs that an upstream is asked to continue a stream: one that this request began at another
// upstream (lastEvent is set), or one that an earlier attempt of the caller began.
func (q *request) logContinuedStream(u *fleet.Upstream, lastEvent string) {
	if lastEvent == "" && q.info.LastEvent == "" {
		return
	}
	logline.Info("stream continued", "request", q.info.ID, "resumes", q.info.Resumes, "after_callers", q.info.LastEvent, "after_own", lastEvent,
		"upstream", u.Incarnation(), "software", u.Software)
}

// refusalFields returns the log fields with the data that a refusal was based on.
func refusalFields(details *place.RefusalDetails) []any {
	return []any{"no_place_for", details.Work, "eligible", details.Eligible, "limited", details.Limited, "ahead", details.Ahead, "wait_expected_ms", details.Wait.Milliseconds(),
		"bound", details.ConcurrencyLimit, "oldest_report_ms", details.Oldest.Milliseconds()}
}

// logFailedSend logs a failed send and what is done next.
func (q *request) logFailedSend(choice *place.Choice, out sendOutcome, action retry.Action) {
	logline.Info("send failed", "request", q.info.ID, "upstream", choice.Upstream.ID, "run", out.runState,
		"load", choice.Load, "load_age_ms", choice.Age.Milliseconds(), "why", out.err, "then", action, "sends", q.sends, "through", q.relay,
		"kept_connection", q.keptConnection, "sent_there_before", q.sentToBefore, "content", q.content())
}
