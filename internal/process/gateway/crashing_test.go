package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
)

// Work that crashes each runner that begins to run it comes again, at any gateway. A gateway knew
// a request for one attempt only: each attempt was sent on like a first one, and an idempotent
// one from runner to runner for as long as one was left. In the tests below 18 to 68 crashes came
// of one piece of work in some seconds.

const (
	crashingPrompt = "no runner survives"
	// knownWithin is how long after the third crash the work may still reach runners freely, and
	// crashesAfter how many more it may crash later.
	knownWithin  = 3 * time.Second
	crashesAfter = 3
)

// crashes counts the crashes of all runners.
func (f *fleet) crashes() int {
	n := 0
	for _, r := range f.runners {
		n += r.Stats().Crashes
	}
	return n
}

// TestWorkThatCrashesRunnersIsKeptFromThem has the work come to two gateways in turn: on a
// route that may run again, on one that may run once, and under a key of its own each time.
func TestWorkThatCrashesRunnersIsKeptFromThem(t *testing.T) {
	for name, route := range map[string]string{"idempotent": "chat", "once": "alert", "keyed": "alert"} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"}, runner.Config{Name: "r3"}, runner.Config{Name: "r4"})
			s := f.settings("gw-1")
			s.Limits.RetryShare = 1
			first := f.start(s)
			second := f.start(f.settings("gw-2"))
			f.setFaults(runner.Faults{CrashPrompt: crashingPrompt, CrashDownMS: 200})
			var third time.Time
			late := 0 // crashes when all have to know
			for i, end := 0, time.Now().Add(2*knownWithin+time.Second); time.Now().Before(end); i++ {
				a := ask{body: completion(route, crashingPrompt, 20, true), header: map[string]string{}}
				if name == "keyed" {
					a.header[headerIdempotencyKey] = fmt.Sprint("key", i)
				}
				a.header[headerDeadline] = "500"
				[]*running{first, second}[i%2].get(a)
				if third.IsZero() && f.crashes() >= 3 {
					third = time.Now()
				}
				if third.IsZero() || time.Since(third) < knownWithin {
					late = f.crashes()
				}
				time.Sleep(100 * time.Millisecond)
			}
			if n := f.crashes() - late; !third.IsZero() && n > crashesAfter {
				t.Errorf("%d crashes, %d of them later than %v after the third; %d may be", f.crashes(), n, knownWithin, crashesAfter)
			}
			if f.crashes() == 0 {
				t.Error("no runner crashed: the test shows nothing")
			}
			first.eventually("other work is served", func() bool {
				return first.get(ask{body: completion("chat", "other", 20, true)}).done
			})
		})
	}
}
