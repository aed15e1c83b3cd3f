package route

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
)

// Send is a request that this gateway sent to a runner.
type Send struct {
	ID           string
	Runner       string
	Prefill      string // prefill runner of a pair; empty: prefilled at Runner
	PromptTokens int
	CachedTokens int // as predicted
	ExpectedOut  int
	PrefixHashes []uint64
}

// Tracker keeps the state of every runner: its last load report and state, and what
// this gateway and its peers sent since the report was measured. Its size is bounded
// by the number of runners and of requests in flight. Not safe for concurrent use.
type Tracker struct {
	Prefixes     *PrefixIndex
	seed         uint64 // makes the random draws of gateways differ: a hash of the id of the first request sent
	runners      map[string]*runnerState
	inFlight     map[string]*sentRequest
	view         []Runner
	byModel      map[string][]string
	tightestGaps map[string]time.Duration  // between tokens, by model
	indexed      *config.Snapshot          // the snapshot that byModel was built from
	peers        map[string]*peerState     // by origin of their use reports
	work         decayingRate              // this gateway's own work, as in peerState
	reportPeriod time.Duration             // EWMA of the time between two reports of a peer
	classes      map[classAndRole]*factors // calibration factors, by engine class and role
}

// runnerState is what is known of one runner.
type runnerState struct {
	state          upstream.State
	hasState       bool
	report         upstream.LoadReport
	measured       time.Time // time the report's figures were taken, by the local clock
	suspected      bool
	journal        journal
	peerPrefill    decayingRate // prompt tokens that peers sent here
	own            ownLoad
	calibration    calibration
	seed           uint64                    // hash of the runner's name; makes the random draws of runners differ
	meanPrompt     float64                   // prompt tokens computed here per request, EWMA
	meanOutput     float64                   // output tokens expected per request, EWMA
	useSinceReport peer.UseRow               // use by this gateway since the last call of Report
	cachedPrefix   func(hashes []uint64) int // see Runner.CachedPrefix
}

// ownLoad is what this gateway has in flight at one runner: requests, output tokens
// still expected, and tokens of KV cache.
type ownLoad struct {
	requests, decode, kv float64
}

// sentRequest is one request of this gateway in flight.
type sentRequest struct {
	send      Send
	predicted sendPrediction
	received  int // output tokens received
}

// requestWeight is the weight of one request in the EWMAs of a runner.
const requestWeight = 0.1

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{
		Prefixes: NewPrefixIndex(0),
		runners:  make(map[string]*runnerState),
		inFlight: make(map[string]*sentRequest),
		peers:    make(map[string]*peerState),
		classes:  make(map[classAndRole]*factors),
	}
}

// runner returns the state of a runner and creates it if needed.
func (t *Tracker) runner(name string) *runnerState {
	r, ok := t.runners[name]
	if !ok {
		r = &runnerState{seed: SeedOf(name), cachedPrefix: func(hashes []uint64) int { return t.Prefixes.Cached(name, hashes) }}
		t.runners[name] = r
	}
	return r
}

// LoadReported records a load report received at now. A report measured earlier than
// the last one is ignored.
func (t *Tracker) LoadReported(now time.Time, report upstream.LoadReport) {
	r := t.runner(report.Runner)
	measured := now.Add(-max(report.Age, 0))
	if measured.Before(r.measured) && report.Incarnation == r.report.Incarnation {
		return
	}
	r.calibration.observePeaks(report.PrefillRate, report.DecodeRate)
	r.report = report
	r.measured = measured
}

// StateReported records a runner's actual state.
func (t *Tracker) StateReported(state upstream.State) {
	r := t.runner(state.Runner)
	if r.hasState && r.state.Role != state.Role { // the factors were measured in the previous role
		r.calibration.class, r.calibration.runner = nil, factors{}
	}
	r.state = state
	r.hasState = true
}

// SetSuspected marks a runner as suspected or clears the mark. A suspected runner gets no
// new requests; its streams continue.
func (t *Tracker) SetSuspected(runner string, suspected bool) {
	t.runner(runner).suspected = suspected
}

// Sent records a request sent by this gateway.
func (t *Tracker) Sent(now time.Time, s Send) {
	if _, ok := t.inFlight[s.ID]; ok {
		t.Finished(now, s.ID)
	}
	t.inFlight[s.ID] = &sentRequest{send: s, predicted: t.predictSend(now, &s)}
	if t.seed == 0 {
		t.seed = SeedOf(s.ID)
	}
	uncached := float64(max(s.PromptTokens-s.CachedTokens, 0))
	decode := t.runner(s.Runner)
	prefill := decode
	if s.Prefill != "" {
		prefill = t.runner(s.Prefill)
	}
	decode.journal.addOwn(now, 1, 0, float64(s.ExpectedOut))
	prefill.journal.addOwn(now, 0, uncached, 0)
	decode.meanOutput += requestWeight * (float64(s.ExpectedOut) - decode.meanOutput)
	prefill.meanPrompt += requestWeight * (uncached - prefill.meanPrompt)
	if prefill != decode {
		decode.meanPrompt -= requestWeight * decode.meanPrompt // it computes no prompt tokens of this request
	}
	t.work.add(now, uncached+float64(s.ExpectedOut))
	decode.own.requests++
	decode.own.decode += float64(s.ExpectedOut)
	decode.own.kv += float64(s.PromptTokens + s.ExpectedOut)
	decode.useSinceReport.Requests++
	decode.useSinceReport.Decode += s.ExpectedOut
	prefill.useSinceReport.Prefill += int(uncached)
	t.Prefixes.Sent(s.Runner, s.PrefixHashes)
	if s.Prefill != "" {
		t.Prefixes.Sent(s.Prefill, s.PrefixHashes)
	}
}

// Progress records that further output tokens of a request were received.
func (t *Tracker) Progress(now time.Time, id string, tokens int) {
	f, ok := t.inFlight[id]
	if !ok {
		return
	}
	left := max(f.send.ExpectedOut-f.received, 0)
	counted := min(tokens, left)
	f.received += tokens
	r := t.runner(f.send.Runner)
	f.predicted.tokensReceived(now, r)
	r.own.decode -= float64(counted)
	r.journal.addOwn(now, 0, 0, -float64(counted))
	r.useSinceReport.Done += counted
}

// Finished records that a request is no longer in flight, whatever its outcome.
func (t *Tracker) Finished(now time.Time, id string) {
	f, ok := t.inFlight[id]
	if !ok {
		return
	}
	delete(t.inFlight, id)
	left := max(f.send.ExpectedOut-f.received, 0)
	r := t.runner(f.send.Runner)
	t.learnGaps(now, f)
	r.own.requests--
	r.own.decode -= float64(left)
	r.own.kv -= float64(f.send.PromptTokens + f.send.ExpectedOut)
	r.journal.addOwn(now, -1, 0, -float64(left))
	r.useSinceReport.Requests--
	r.useSinceReport.Done += left
}

// PeerUseReported records what another gateway sent since its previous report.
func (t *Tracker) PeerUseReported(now time.Time, origin string, rows []peer.UseRow) {
	since := t.peerReported(now, origin, rows)
	for _, row := range rows {
		r, ok := t.runners[row.Runner]
		if !ok {
			continue
		}
		r.peerPrefill.add(now, float64(row.Prefill))
		r.journal.addSpread(since, now, float64(row.Requests), float64(row.Prefill), float64(row.Decode-row.Done))
	}
}

// Report returns this gateway's use since the previous call, for its peers.
func (t *Tracker) Report() []peer.UseRow {
	var rows []peer.UseRow
	for name, r := range t.runners {
		if r.useSinceReport == (peer.UseRow{}) {
			continue
		}
		row := r.useSinceReport
		row.Runner = name
		rows = append(rows, row)
		r.useSinceReport = peer.UseRow{}
	}
	return rows
}
