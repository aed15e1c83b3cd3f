package route

import (
	"math"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
)

// Parameters of the calibration.
const (
	classWeight         = 0.05 // weight of one answer in the factors of its engine class
	maxClassStep        = 0.25 // largest deviation of one answer that counts for the class, so that one slow runner does not move it
	runnerWeight        = 0.02 // weight of one answer in the factors of its runner; below classWeight, so that the class explains as much of a deviation as it can
	minFactor           = 0.5
	maxFactor           = 4.0
	classSlowThreshold  = 1.25        // class factors above this correct predictions
	classFastThreshold  = 0.7         // class factors below this correct predictions as well
	runnerSlowThreshold = 1.5         // runner factors above this correct predictions
	factorDecayInterval = time.Second // finer steps would only cost CPU time
	factorHalfLife      = 5 * time.Minute
	minPromptTime       = 100 * time.Millisecond // shorter prompts measure the network rather than the engine
	maxQueuedShare      = 0.5                    // maximum prompt queue, as a fraction of the request's own prompt; with a longer one the queue is measured rather than the engine
	minGaps             = 8                      // fewer gaps between tokens are too noisy
	peakDecay           = 0.01                   // fraction by which the peak rates drop with each report
)

// factors holds the ratios of observed to predicted time, measured on the answers that this
// gateway received. prompt is the ratio for the time until a prompt is computed, decode the
// one for a decode step. Zero means not measured.
type factors struct {
	prompt, decode float64
	decayedAt      time.Time // time of the last decay
}

// decay moves the factors back toward 1 over time. A gateway that admits little
// because of a high factor gets few answers to correct it with; the decay lets it
// notice that the factor no longer holds.
func (f *factors) decay(now time.Time) {
	elapsed := now.Sub(f.decayedAt)
	if elapsed < factorDecayInterval {
		return
	}
	remaining := math.Exp2(-elapsed.Seconds() / factorHalfLife.Seconds())
	f.prompt = 1 + (orOne(f.prompt)-1)*remaining
	f.decode = 1 + (orOne(f.decode)-1)*remaining
	f.decayedAt = now
}

// orOne returns f, or 1 if f is zero (not measured).
func orOne(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}

// updateFactor returns f moved toward the factor that one answer shows. That is the ratio
// of observed to predicted time, times the factor that was applied in the prediction.
// maxStep bounds the deviation that one answer can contribute.
func updateFactor(f, applied, ratio, weight, maxStep float64) float64 {
	measured := min(max(applied*ratio, minFactor), maxFactor)
	return orOne(f) + weight*min(max(measured-orOne(f), -maxStep), maxStep)
}

// ratioOf returns observed/predicted within minFactor and maxFactor, or 1 without a
// prediction.
func ratioOf(observed, predicted time.Duration) float64 {
	if predicted <= 0 {
		return 1
	}
	return min(max(float64(observed)/float64(predicted), minFactor), maxFactor)
}

// calibration holds the measurements of one runner. The factors of its engine class
// apply to all runners of the class, the runner's own factors to it alone.
//
// Both apply only beyond a threshold. Routing prefers runners that happen to be
// predicted too fast, so the runners in use always look slightly slow. Applying small
// corrections would make gateways abandon them one after the other and admit too
// little.
type calibration struct {
	class       *factors // shared by the runners of the class in the same role
	runner      factors
	peakPrefill float64 // highest recent prefill rate reported, for classes that declare none
	peakDecode  float64 // highest recent decode rate reported, for classes that declare none
}

// observePeaks records the rates of a load report. An engine reports the rate it
// achieved, which is low while it has little work; only the peak shows its capacity.
func (c *calibration) observePeaks(prefill, decode float64) {
	c.peakPrefill = max(c.peakPrefill*(1-peakDecay), prefill)
	c.peakDecode = max(c.peakDecode*(1-peakDecay), decode)
}

// apply sets the rates of the view: the declared or else the peak rates, corrected by
// the factors that lie beyond their thresholds.
func (c *calibration) apply(out *Runner, now time.Time) {
	c.decay(now)
	prompt, decode := runnerFactor(c.runner.prompt), runnerFactor(c.runner.decode)
	if c.class != nil {
		prompt *= classFactor(c.class.prompt)
		decode *= classFactor(c.class.decode)
	}
	out.PrefillRate = orDefault(out.Engine.PrefillRate, c.peakPrefill) / prompt
	out.DecodeRate = orDefault(out.Engine.DecodeRate, c.peakDecode) / decode
	out.Engine.StreamRate /= decode
}

// decay decays the factors of the runner and its class.
func (c *calibration) decay(now time.Time) {
	c.runner.decay(now)
	if c.class != nil {
		c.class.decay(now)
	}
}

// classFactor returns a class's factor if it lies outside the range that noise and
// selection bias explain, else 1.
func classFactor(f float64) float64 {
	if f == 0 || (f >= classFastThreshold && f <= classSlowThreshold) {
		return 1
	}
	return f
}

// runnerFactor returns a runner's own factor if it is above the threshold, else 1.
func runnerFactor(f float64) float64 {
	if f <= runnerSlowThreshold {
		return 1
	}
	return f
}

// learnPrompt updates the prompt factors of the runner and its class with one answer.
// ratio is the observed time divided by the predicted one.
func (c *calibration) learnPrompt(now time.Time, ratio float64) {
	c.decay(now)
	c.runner.prompt = updateFactor(c.runner.prompt, runnerFactor(c.runner.prompt), ratio, runnerWeight, maxFactor)
	if c.class != nil {
		c.class.prompt = updateFactor(c.class.prompt, classFactor(c.class.prompt), ratio, classWeight, maxClassStep)
	}
}

// learnDecode updates the decode factors of the runner and its class as learnPrompt does.
func (c *calibration) learnDecode(now time.Time, ratio float64) {
	c.decay(now)
	c.runner.decode = updateFactor(c.runner.decode, runnerFactor(c.runner.decode), ratio, runnerWeight, maxFactor)
	if c.class != nil {
		c.class.decode = updateFactor(c.class.decode, classFactor(c.class.decode), ratio, classWeight, maxClassStep)
	}
}

// sendPrediction holds what was predicted for a request when it was sent, and when its
// tokens arrived.
type sendPrediction struct {
	sent, first, last time.Time     // last: arrival of the newest token
	predictedGap      time.Duration // mean gap between tokens
	promptTime        time.Duration // until the prompt is computed; zero: not measurable at this runner
	stepTime          time.Duration // from the end of the prompt to the first token
}

// viewRunner fills in the view of one runner at now and assigns the runner the shared
// factors of its engine class and role. It returns false if the runner is not
// configured.
func (t *Tracker) viewRunner(now time.Time, name string, out *Runner) bool {
	spec, ok := t.runnerSpec(name)
	if !ok {
		return false
	}
	r := t.runner(name)
	r.calibration.class = t.classFactors(spec.Engine, r.role(&spec))
	r.fill(out, now, t.estimatePeers(now), name, &spec, t.indexed)
	return true
}

// predictSend returns the prediction for a request that is about to be sent, from a view
// that doesn't count the request yet.
func (t *Tracker) predictSend(now time.Time, s *Send) sendPrediction {
	e := sendPrediction{sent: now}
	var view Runner
	if !t.viewRunner(now, s.Runner, &view) {
		return e
	}
	view.CachedPrefix = nil
	q := Request{PromptTokens: max(s.PromptTokens-s.CachedTokens, 1), ExpectedOut: s.ExpectedOut}
	p := Predict(&q, &view)
	e.predictedGap = p.Between
	if s.Prefill == "" && view.QueuedPrefill <= maxQueuedShare*float64(q.PromptTokens) {
		e.stepTime = seconds(view.stepTime(view.Running + 1))
		e.promptTime = p.FirstToken - e.stepTime
	}
	return e
}

// classAndRole identifies the runners that share factors. The role is part of it because
// an engine of role both computes prompts beside running streams: factors measured there
// do not apply to prefill engines.
type classAndRole struct {
	class string
	role  upstream.Role
}

// classFactors returns the shared factors of an engine class in a role.
func (t *Tracker) classFactors(class string, role upstream.Role) *factors {
	key := classAndRole{class, role}
	f, ok := t.classes[key]
	if !ok {
		f = &factors{}
		t.classes[key] = f
	}
	return f
}

// tokensReceived records the arrival of tokens. The first token shows how long the prompt
// took: tokensReceived updates the factors that correct predictions of that time.
func (e *sendPrediction) tokensReceived(now time.Time, r *runnerState) {
	e.last = now
	if !e.first.IsZero() {
		return
	}
	e.first = now
	if e.promptTime >= minPromptTime {
		r.calibration.learnPrompt(now, ratioOf(now.Sub(e.sent)-e.stepTime, e.promptTime))
	}
}

// learnGaps updates the decode factors from the gaps between the received tokens. The
// gaps are compared with the mean of two predictions, made at the start and at the end of
// the answer. The prediction at the start alone is too low on average, because runners are
// chosen for being predicted fast.
func (t *Tracker) learnGaps(now time.Time, f *sentRequest) {
	e := &f.predicted
	var view Runner
	if f.received <= minGaps || !t.viewRunner(now, f.send.Runner, &view) {
		return
	}
	predicted := (e.predictedGap + seconds(view.tokenGap(view.Running))) / 2
	observed := e.last.Sub(e.first) / time.Duration(f.received-1)
	t.runner(f.send.Runner).calibration.learnDecode(now, ratioOf(observed, predicted))
}
