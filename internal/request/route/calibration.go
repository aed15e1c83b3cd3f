package route

import (
	"math"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Bounds of the calibration.
const (
	classWeight     = 0.05 // weight of one answer in the factors of its engine class
	classStep       = 0.25 // most that one answer counts for a class, so that one slow runner does not move it
	runnerWeight    = 0.02 // weight of one answer in the factors of its runner; less, so that the class explains what it can
	leastFactor     = 0.5
	mostFactor      = 4.0
	wrongAbove      = 1.25        // the factors of a class count from here on
	wrongBelow      = 0.7         // and down from here
	slowAbove       = 1.5         // a runner's own factor counts from here on
	fadeEvery       = time.Second // finer steps would only cost time
	factorHalfLife  = 5 * time.Minute
	leastPromptTime = 100 * time.Millisecond // shorter prompts say more of the network than of the engine
	mostQueued      = 0.5                    // prompts ahead in parts of the own one; more of them say more of the queue
	leastGaps       = 8                      // fewer gaps between tokens say little
	peakFade        = 0.01                   // of the highest reported rate, with each report
)

// factors hold how much longer prompts and decode steps take than predicted,
// measured on the answers that this gateway received. Zero: nothing measured.
type factors struct {
	prompt, decode float64
	learned        time.Time // when they last faded
}

// fade moves the factors back to 1 with the time without answers, so that a
// gateway that admits little because of them finds out when they no longer hold.
func (f *factors) fade(now time.Time) {
	elapsed := now.Sub(f.learned)
	if elapsed < fadeEvery {
		return
	}
	keep := math.Exp2(-elapsed.Seconds() / factorHalfLife.Seconds())
	f.prompt = 1 + (orOne(f.prompt)-1)*keep
	f.decode = 1 + (orOne(f.decode)-1)*keep
	f.learned = now
}

func orOne(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}

// learn moves a factor towards what an answer shows: the ratio of the observed
// to the predicted time, times the part of the factor that the prediction
// contained. most bounds the difference that one answer may show.
func learn(f, applied, ratio, weight, most float64) float64 {
	shown := min(max(applied*ratio, leastFactor), mostFactor)
	return orOne(f) + weight*min(max(shown-orOne(f), -most), most)
}

func ratioOf(observed, predicted time.Duration) float64 {
	if predicted <= 0 {
		return 1
	}
	return min(max(float64(observed)/float64(predicted), leastFactor), mostFactor)
}

// calibration is what is measured of one runner. The factors of its engine
// class apply to all runners alike, those of the runner to it alone. Both count
// only beyond doubt: routing prefers runners that happen to be predicted too
// fast, so the ones in use always look a little slow, and small corrections would
// make gateways leave them in turn and admit too little.
type calibration struct {
	class       *factors // shared by the runners of the class
	runner      factors
	peakPrefill float64 // highest rate reported lately, for classes that declare none
	peakDecode  float64
}

// reported keeps the highest rates. An engine reports what it did, which is low
// while it has little to do; only the peak tells what it can do.
func (c *calibration) reported(prefill, decode float64) {
	c.peakPrefill = max(c.peakPrefill*(1-peakFade), prefill)
	c.peakDecode = max(c.peakDecode*(1-peakFade), decode)
}

// apply puts the measured rates in place of the declared ones.
func (c *calibration) apply(out *Runner, now time.Time) {
	c.fade(now)
	prompt, decode := slow(c.runner.prompt), slow(c.runner.decode)
	if c.class != nil {
		prompt *= wrong(c.class.prompt)
		decode *= wrong(c.class.decode)
	}
	out.PrefillRate = orDefault(out.Engine.PrefillRate, c.peakPrefill) / prompt
	out.DecodeRate = orDefault(out.Engine.DecodeRate, c.peakDecode) / decode
	out.Engine.StreamRate /= decode
}

func (c *calibration) fade(now time.Time) {
	c.runner.fade(now)
	if c.class != nil {
		c.class.fade(now)
	}
}

// wrong gives a class's factor if it is beyond what chance and choice explain.
func wrong(f float64) float64 {
	if f == 0 || (f >= wrongBelow && f <= wrongAbove) {
		return 1
	}
	return f
}

// slow gives a runner's own factor if it counts.
func slow(f float64) float64 {
	if f <= slowAbove {
		return 1
	}
	return f
}

func (c *calibration) learnPrompt(now time.Time, ratio float64) {
	c.fade(now)
	c.runner.prompt = learn(c.runner.prompt, slow(c.runner.prompt), ratio, runnerWeight, mostFactor)
	if c.class != nil {
		c.class.prompt = learn(c.class.prompt, wrong(c.class.prompt), ratio, classWeight, classStep)
	}
}

func (c *calibration) learnDecode(now time.Time, ratio float64) {
	c.fade(now)
	c.runner.decode = learn(c.runner.decode, slow(c.runner.decode), ratio, runnerWeight, mostFactor)
	if c.class != nil {
		c.class.decode = learn(c.class.decode, wrong(c.class.decode), ratio, classWeight, classStep)
	}
}

// expectation is what was predicted of a request when it was sent.
type expectation struct {
	sent, first, last time.Time // last: of the newest token
	predictedGap      time.Duration
	promptTime        time.Duration // predicted until the prompt is computed; zero: not at this runner
	step              time.Duration // predicted from then on to the first token
}

// look fills the view of one runner as of now. It is false if the runner is not configured.
func (t *Tracker) look(now time.Time, name string, out *Runner) bool {
	spec, ok := t.known(name)
	if !ok {
		return false
	}
	r := t.runner(name)
	r.rates.class = t.classFactors(spec.Engine, r.role(&spec))
	r.fill(out, now, t.lookUnseen(now), name, &spec, t.indexed)
	return true
}

// expect predicts a request that is about to be sent, from the view without it.
func (t *Tracker) expect(now time.Time, s *Send) expectation {
	e := expectation{sent: now}
	var view Runner
	if !t.look(now, s.Runner, &view) {
		return e
	}
	view.CachedPrefix = nil
	q := Request{PromptTokens: max(s.PromptTokens-s.CachedTokens, 1), ExpectedOut: s.ExpectedOut}
	p := Predict(&q, &view)
	e.predictedGap = p.Between
	if s.Prefill == "" && view.QueuedPrefill <= mostQueued*float64(q.PromptTokens) {
		e.step = seconds(view.step(view.Running + 1))
		e.promptTime = p.FirstToken - e.step
	}
	return e
}

// classAndRole names what shares factors. How far prompts beside streams are
// mispredicted at engines that do both says nothing of engines that prefill.
type classAndRole struct {
	class string
	role  upstream.Role
}

// classFactors gives the shared factors of an engine class in a role.
func (t *Tracker) classFactors(class string, role upstream.Role) *factors {
	key := classAndRole{class, role}
	f, ok := t.classes[key]
	if !ok {
		f = &factors{}
		t.classes[key] = f
	}
	return f
}

// tokens notes the time of received tokens.
func (e *expectation) tokens(now time.Time, r *tracked) {
	e.last = now
	if !e.first.IsZero() {
		return
	}
	e.first = now
	if e.promptTime >= leastPromptTime {
		r.rates.learnPrompt(now, ratioOf(now.Sub(e.sent)-e.step, e.promptTime))
	}
}

// ended learns from the gaps between the received tokens. They are compared with
// the mean of the predictions at the start and at the end: at the start the
// runner was chosen for being predicted fast.
func (t *Tracker) ended(now time.Time, f *flight) {
	e := &f.expected
	var view Runner
	if f.received <= leastGaps || !t.look(now, f.send.Runner, &view) {
		return
	}
	predicted := (e.predictedGap + seconds(view.gap(view.Running))) / 2
	observed := e.last.Sub(e.first) / time.Duration(f.received-1)
	t.runner(f.send.Runner).rates.learnDecode(now, ratioOf(observed, predicted))
}
