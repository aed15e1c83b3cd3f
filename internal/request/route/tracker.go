package route

import (
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/peer"
	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
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

// Tracker keeps what is known of every runner: its last report and state, and
// what this gateway and its peers sent since the report's time. Its size is
// bounded by the runners and by the requests in flight. Not safe for concurrent use.
type Tracker struct {
	Prefixes *PrefixIndex
	self     uint64 // tells the draws of gateways apart: a hash of the first request sent
	runners  map[string]*tracked
	inFlight map[string]*flight
	view     []Runner
	byModel  map[string][]string
	promised map[string]time.Duration // by model
	indexed  *config.Snapshot         // the snapshot that byModel was built from
	peers    map[string]*peerState    // by origin of their use reports
	work     peerRate                 // this gateway's own, as in peerState
	period   time.Duration            // mean time between two reports of a peer
	classes  map[string]*factors      // measured, by engine class
}

// tracked is what is known of one runner.
type tracked struct {
	state      upstream.State
	hasState   bool
	report     upstream.LoadReport
	measured   time.Time // when the report's figures were taken, by our clock
	suspected  bool
	journal    journal
	peers      peerRate
	own        ownUse
	rates      calibration
	seed       uint64
	meanPrompt float64     // prompt tokens computed here for a request, moving mean
	meanOut    float64     // output tokens expected of a request, moving mean
	unsent     peer.UseRow // use since the last Report
	cached     func(hashes []uint64) int
}

// ownUse is what this gateway has in flight at one runner.
type ownUse struct {
	requests, decode, kv float64
}

// flight is one request in flight.
type flight struct {
	send     Send
	expected expectation
	received int
}

// promptWeight is the weight of one request in the means of a runner.
const promptWeight = 0.1

// NewTracker makes an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		Prefixes: NewPrefixIndex(0),
		runners:  make(map[string]*tracked),
		inFlight: make(map[string]*flight),
		peers:    make(map[string]*peerState),
		classes:  make(map[string]*factors),
	}
}

func (t *Tracker) runner(name string) *tracked {
	r, ok := t.runners[name]
	if !ok {
		r = &tracked{seed: SeedOf(name), cached: func(hashes []uint64) int { return t.Prefixes.Cached(name, hashes) }}
		t.runners[name] = r
	}
	return r
}

// Reported takes in a load report received at now. An older one than the last is ignored.
func (t *Tracker) Reported(now time.Time, report upstream.LoadReport) {
	r := t.runner(report.Runner)
	measured := now.Add(-max(report.Age, 0))
	if measured.Before(r.measured) && report.Incarnation == r.report.Incarnation {
		return
	}
	r.rates.reported(report.PrefillRate, report.DecodeRate)
	r.report = report
	r.measured = measured
}

// Stated takes in a runner's actual state.
func (t *Tracker) Stated(state upstream.State) {
	r := t.runner(state.Runner)
	r.state = state
	r.hasState = true
}

// Suspect marks a runner as suspected, or no longer so. A suspected runner gets
// no new work; its streams go on.
func (t *Tracker) Suspect(runner string, suspected bool) {
	t.runner(runner).suspected = suspected
}

// Sent notes a request sent by this gateway.
func (t *Tracker) Sent(now time.Time, s Send) {
	if _, ok := t.inFlight[s.ID]; ok {
		t.Finished(now, s.ID)
	}
	t.inFlight[s.ID] = &flight{send: s, expected: t.expect(now, &s)}
	if t.self == 0 {
		t.self = SeedOf(s.ID)
	}
	need := float64(max(s.PromptTokens-s.CachedTokens, 0))
	decode := t.runner(s.Runner)
	prefill := decode
	if s.Prefill != "" {
		prefill = t.runner(s.Prefill)
	}
	decode.journal.addOwn(now, 1, 0, float64(s.ExpectedOut))
	prefill.journal.addOwn(now, 0, need, 0)
	decode.meanOut += promptWeight * (float64(s.ExpectedOut) - decode.meanOut)
	prefill.meanPrompt += promptWeight * (need - prefill.meanPrompt)
	if prefill != decode {
		decode.meanPrompt -= promptWeight * decode.meanPrompt
	}
	t.work.add(now, need+float64(s.ExpectedOut))
	decode.own.requests++
	decode.own.decode += float64(s.ExpectedOut)
	decode.own.kv += float64(s.PromptTokens + s.ExpectedOut)
	decode.unsent.Requests++
	decode.unsent.Decode += s.ExpectedOut
	prefill.unsent.Prefill += int(need)
	t.Prefixes.Sent(s.Runner, s.PrefixHashes)
	if s.Prefill != "" {
		t.Prefixes.Sent(s.Prefill, s.PrefixHashes)
	}
}

// Progress notes that tokens more output tokens of a request were received.
func (t *Tracker) Progress(now time.Time, id string, tokens int) {
	f, ok := t.inFlight[id]
	if !ok {
		return
	}
	left := max(f.send.ExpectedOut-f.received, 0)
	counted := min(tokens, left)
	f.received += tokens
	r := t.runner(f.send.Runner)
	f.expected.tokens(now, r)
	r.own.decode -= float64(counted)
	r.journal.addOwn(now, 0, 0, -float64(counted))
	r.unsent.Done += counted
}

// Finished notes that a request is no longer in flight, however it ended.
func (t *Tracker) Finished(now time.Time, id string) {
	f, ok := t.inFlight[id]
	if !ok {
		return
	}
	delete(t.inFlight, id)
	left := max(f.send.ExpectedOut-f.received, 0)
	r := t.runner(f.send.Runner)
	t.ended(now, f)
	r.own.requests--
	r.own.decode -= float64(left)
	r.own.kv -= float64(f.send.PromptTokens + f.send.ExpectedOut)
	r.journal.addOwn(now, -1, 0, -float64(left))
	r.unsent.Requests--
	r.unsent.Done += left
}

// PeerUse takes in what another gateway sent since its previous report.
func (t *Tracker) PeerUse(now time.Time, origin string, rows []peer.UseRow) {
	since := t.hear(now, origin, rows)
	for _, row := range rows {
		r, ok := t.runners[row.Runner]
		if !ok {
			continue
		}
		r.peers.add(now, float64(row.Prefill))
		r.journal.addSpread(since, now, float64(row.Requests), float64(row.Prefill), float64(row.Decode-row.Done))
	}
}

// Report gives this gateway's use since the previous call, for its peers.
func (t *Tracker) Report() []peer.UseRow {
	var rows []peer.UseRow
	for name, r := range t.runners {
		if r.unsent == (peer.UseRow{}) {
			continue
		}
		row := r.unsent
		row.Runner = name
		rows = append(rows, row)
		r.unsent = peer.UseRow{}
	}
	return rows
}

// View gives every runner of the configuration at now. The slice is reused by
// the next call of View or ViewModel.
func (t *Tracker) View(now time.Time, snapshot *config.Snapshot) []Runner {
	t.index(snapshot)
	t.view = t.view[:0]
	unseen := t.lookUnseen(now)
	for _, names := range t.byModel {
		t.appendView(now, unseen, snapshot, names)
	}
	return t.view
}

// ViewModel gives the runners that the configuration gives to a model. The
// slice is reused by the next call of View or ViewModel.
func (t *Tracker) ViewModel(now time.Time, snapshot *config.Snapshot, model string) []Runner {
	t.index(snapshot)
	t.view = t.view[:0]
	t.appendView(now, t.lookUnseen(now), snapshot, t.byModel[model])
	return t.view
}

// known gives the configuration of a runner, if there is one.
func (t *Tracker) known(name string) (resource.Runner, bool) {
	if t.indexed == nil {
		return resource.Runner{}, false
	}
	spec, ok := t.indexed.Runners[name]
	return spec, ok
}

// index groups the runners of a new snapshot by model and forgets the others.
func (t *Tracker) index(snapshot *config.Snapshot) {
	if t.indexed == snapshot {
		return
	}
	t.indexed = snapshot
	t.byModel = make(map[string][]string)
	for name, r := range snapshot.Runners {
		t.byModel[r.Model] = append(t.byModel[r.Model], name)
	}
	for _, names := range t.byModel {
		sortNames(names)
	}
	t.promised = promisedGaps(snapshot)
	for name, r := range t.runners {
		if _, ok := snapshot.Runners[name]; !ok && r.own.requests <= 0 {
			delete(t.runners, name)
			t.Prefixes.Forget(name)
		}
	}
}

// promisedGaps gives the tightest gap between tokens that routes promise for each model.
func promisedGaps(snapshot *config.Snapshot) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, r := range snapshot.Routes {
		gap := time.Duration(r.OnTime.BetweenMS) * time.Millisecond
		if r.Model == "" || gap <= 0 {
			continue
		}
		if old, ok := out[r.Model]; !ok || gap < old {
			out[r.Model] = gap
		}
	}
	return out
}

func (t *Tracker) appendView(now time.Time, unseen unseen, snapshot *config.Snapshot, names []string) {
	for _, name := range names {
		spec := snapshot.Runners[name]
		t.view = append(t.view, Runner{Promised: t.promised[spec.Model]})
		t.runner(name).fill(&t.view[len(t.view)-1], now, unseen, name, &spec, snapshot)
	}
}

// fill writes the corrected view of one runner.
func (r *tracked) fill(out *Runner, now time.Time, unseen unseen, name string, spec *resource.Runner, snapshot *config.Snapshot) {
	out.Name = name
	out.Zone = spec.Zone
	out.Engine = snapshot.Engines[spec.Engine]
	out.Role = r.role(spec)
	out.Incarnation = r.state.Incarnation
	out.Loaded = r.state.Loaded
	out.Leaving = r.leaving(spec) || snapshot.Instances[name].State == resource.InstanceLeaving
	out.Suspected = r.suspected || !r.hasState
	out.CachedPrefix = r.cached
	r.fillLoad(out, now)
	r.addUnseen(out, now, unseen)
}

// role is the actual role, or the desired one while nothing is known.
func (r *tracked) role(spec *resource.Runner) upstream.Role {
	if r.state.Role != "" {
		return r.state.Role
	}
	if spec.Role == resource.RoleAuto || spec.Role == "" {
		return upstream.RoleBoth
	}
	return upstream.Role(spec.Role)
}

// leaving tells whether the runner must get no new work.
func (r *tracked) leaving(spec *resource.Runner) bool {
	if spec.State == resource.RunnerDrained || spec.State == resource.RunnerWithdrawn {
		return true
	}
	return r.state.Leaving || r.report.Leaving || r.state.OrderStatus == upstream.OrderRunning
}

// fillLoad corrects the report by the journal since the report's time.
func (r *tracked) fillLoad(out *Runner, now time.Time) {
	r.rates.apply(out, now)
	out.ReportAge = now.Sub(r.measured)
	out.KVTotal = orDefault(float64(r.report.KVTotalTokens), float64(out.Engine.KVTokens))
	reported := float64(r.report.Running + r.report.QueuedRequests)
	out.Running = reported
	c := r.journal.since(r.measured, now, float64(r.report.QueuedPrefill), out.promptRate())
	out.QueuedPrefill = c.queuedPrefill
	out.Running = max(reported+c.requests, r.own.requests, 0)
	out.DecodeLeft = out.Running * r.meanLeft()
	out.KVUsed = max(float64(r.report.KVUsedTokens)+c.requests*r.meanKV(), r.own.kv)
}

// meanLeft is the mean number of output tokens still to come of a stream, as
// this gateway's own ones tell; with none, half of an answer.
func (r *tracked) meanLeft() float64 {
	if r.own.requests > 0 {
		return max(r.own.decode/r.own.requests, 1)
	}
	return orDefault(r.meanOut, defaultOut) / 2
}

// meanKV is the mean memory of a stream in tokens, of this gateway's own ones or
// else of all that were reported.
func (r *tracked) meanKV() float64 {
	if r.own.requests > 0 {
		return r.own.kv / r.own.requests
	}
	if r.report.Running > 0 {
		return float64(r.report.KVUsedTokens) / float64(r.report.Running)
	}
	return 0
}
