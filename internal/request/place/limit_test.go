package place

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/fleet"
)

// simulateSharedServer simulates a server that handles one request at a time, with random
// service times. One process per arrival rate shares the server, each with its own limiter and
// with more requests than the limiter allows. simulateSharedServer returns the mean time that
// requests took in the second half of the run, and the number of requests served for each
// process in that half.
func simulateSharedServer(arrivalRates []float64, serviceTime, target time.Duration, steps int) (mean time.Duration, served []int) {
	processes := len(arrivalRates)
	type inFlight struct {
		process int
		sent    time.Time
	}
	limiters := make([]*concurrencyLimiter, processes)
	for i := range limiters {
		limiters[i] = newConcurrencyLimiter()
	}
	served = make([]int, processes)
	var queue []inFlight
	var sum time.Duration
	count := 0
	now := time.Unix(0, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	for step := range steps {
		for _, i := range rng.Perm(processes) { // every process always has more to send
			for l := limiters[i]; !l.full(); {
				l.begin()
				queue = append(queue, inFlight{i, now})
			}
		}
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(serviceTime)))
		done := queue[0]
		queue = queue[1:]
		elapsed := now.Sub(done.sent)
		limiters[done.process].end()
		limiters[done.process].observe(elapsed, target, arrivalRates[done.process])
		if step > steps/2 {
			sum += elapsed
			count++
			served[done.process]++
		}
	}
	return sum / time.Duration(count), served
}

// TestLimiterKeepsTargetLatencyUnderOverload guards against limits that let requests take much
// more or less time than their target, and against unequal shares of processes with the same
// number of callers. The processes have twice the load that the server can serve.
func TestLimiterKeepsTargetLatencyUnderOverload(t *testing.T) {
	for _, processes := range []int{1, 3, 8} {
		arrivalRates := make([]float64, processes)
		for i := range arrivalRates {
			arrivalRates[i] = 250 / float64(processes)
		}
		mean, served := simulateSharedServer(arrivalRates, 8*time.Millisecond, 100*time.Millisecond, 20_000)
		fewest, most := slices.Min(served), slices.Max(served)
		if mean < 50*time.Millisecond || mean > 130*time.Millisecond {
			t.Errorf("%d processes: requests took %v, wanted about 100ms", processes, mean)
		}
		if fewest*2 < most {
			t.Errorf("%d processes: served %d to %d requests each", processes, fewest, most)
		}
	}
}

// TestLimiterSharesByDemand guards against shares that don't follow the demand: a process with
// as many callers as two others together, such as the only one of an availability zone, must
// get about as much as these two.
func TestLimiterSharesByDemand(t *testing.T) {
	_, served := simulateSharedServer([]float64{60, 60, 120}, 8*time.Millisecond, 100*time.Millisecond, 40_000)
	pair, single := float64(served[0]+served[1]), float64(served[2])
	if single < 0.75*pair || single > 1.35*pair {
		t.Errorf("the process with half of the callers served %v, the others %v", single, pair)
	}
}

// TestLimiterRisesOnlyWhenUtilized guards against a limit that rises while few requests are in
// flight, and against a limit that falls so far that nothing can be sent any more.
func TestLimiterRisesOnlyWhenUtilized(t *testing.T) {
	l := newConcurrencyLimiter()
	for range 1000 {
		l.begin()
		l.end()
		l.observe(time.Millisecond, time.Second, 10)
	}
	if l.limit > initialLimit {
		t.Errorf("an idle process raised its limit to %v", l.limit)
	}
	for range 1000 {
		l.begin()
		l.observe(time.Hour, time.Second, 10)
		l.end()
	}
	if l.limit < minLimit || l.full() {
		t.Errorf("the limit fell to %v: nothing can be sent any more", l.limit)
	}
}

// TestLimiterRisesFromFractionalLimit guards against a limit that stays below 2 forever. A limit
// of 1.5 allows only one request at a time, and that one request didn't count as enough use of
// the limit to raise it.
func TestLimiterRisesFromFractionalLimit(t *testing.T) {
	l := &concurrencyLimiter{limit: 1.5}
	for range 100 {
		l.begin()
		l.end()
		l.observe(time.Millisecond, time.Second, 10)
	}
	if l.limit < 2 {
		t.Errorf("the limit is still %v", l.limit)
	}
}

// TestLimiterOfServiceThatUpstreamLeft guards against a service whose requests are refused for good: the entry of an
// upstream names another service while requests are in flight there, and their ends have to be counted at the service
// for which they were sent.
func TestLimiterOfServiceThatUpstreamLeft(t *testing.T) {
	u := fleet.Upstream{ID: "a", StartedMS: 1, Service: "s", Slots: 6}
	tr := newTestTracker(u)
	tr.Sent(at(0), u.Incarnation(), Prefill)
	moved := u
	moved.Service = "t"
	tr.SetUpstreams(map[string][]fleet.Upstream{"t": {moved}})
	tr.Sent(at(0), moved.Incarnation(), Prefill)
	tr.Ended(u.Incarnation(), Prefill)
	tr.Ended(moved.Incarnation(), Prefill)
	for _, service := range []string{"s", "t"} {
		if n := tr.concurrencyLimiter(service, Prefill).inFlight; n != 0 {
			t.Errorf("service %s: %d requests count as in flight after all have ended", service, n)
		}
	}
}
