package place

import (
	"math/rand/v2"
	"testing"
	"time"
)

// queueModel is a server that works on one request at a time, for a random time, and is shared by
// processes, each with a limiter of its own. It returns the mean time that requests
// took in the last half of the run, and how evenly the processes shared it.
func queueModel(processes int, work, target time.Duration, steps int) (mean time.Duration, least, most int) {
	type under struct {
		process int
		sent    time.Time
	}
	limiters := make([]*limiter, processes)
	for i := range limiters {
		limiters[i] = newLimiter()
	}
	served := make([]int, processes)
	var queue []under
	var sum time.Duration
	count := 0
	now := time.Unix(0, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	for step := range steps {
		for _, i := range rng.Perm(processes) { // everyone always has more to send
			for l := limiters[i]; !l.full(); {
				l.begin()
				queue = append(queue, under{i, now})
			}
		}
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(work)))
		done := queue[0]
		queue = queue[1:]
		took := now.Sub(done.sent)
		limiters[done.process].end()
		limiters[done.process].took(took, target)
		if step > steps/2 {
			sum += took
			count++
			served[done.process]++
		}
	}
	least = served[0]
	for _, n := range served {
		least, most = min(least, n), max(most, n)
	}
	return sum / time.Duration(count), least, most
}

func TestLimiterHoldsTheWantedTimeInOverload(t *testing.T) {
	for _, processes := range []int{1, 3, 8} {
		mean, least, most := queueModel(processes, 8*time.Millisecond, 100*time.Millisecond, 20_000)
		if mean < 50*time.Millisecond || mean > 130*time.Millisecond {
			t.Errorf("%d processes: requests took %v, wanted about 100ms", processes, mean)
		}
		if least*2 < most {
			t.Errorf("%d processes: served %d to %d requests each", processes, least, most)
		}
	}
}

func TestLimiterRisesOnlyWhenItIsUsed(t *testing.T) {
	l := newLimiter()
	for range 1000 {
		l.begin()
		l.end()
		l.took(time.Millisecond, time.Second)
	}
	if l.bound > firstBound {
		t.Errorf("an idle process raised its bound to %v", l.bound)
	}
	for range 1000 {
		l.begin()
		l.took(time.Hour, time.Second)
		l.end()
	}
	if l.bound < leastBound || l.full() {
		t.Errorf("the bound fell to %v: nothing could be sent any more", l.bound)
	}
}
