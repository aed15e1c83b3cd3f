package main

import (
	"fmt"
	"time"
)

// Doses of the case second-answer, at most the largest ones that the site file names.
const (
	lapseLength  = time.Second     // handle_short for_s, at most 4 s
	spellLength  = 5 * time.Second // garble for_s
	spells       = 12              // one after another; handles lapse in the last second of each
	warmUp       = 5 * time.Second
	garbledShare = 0.03 // garble x: share of the answers of a faulty runner in one spell
	ratePerS     = 36
)

// secondAnswer checks REFUSED: a request that may run once at most is answered 503, which promises that it has not run,
// and runs. Disruption: the handles of one of four model servers lapse at once, for 1 s at a time, and two of the four send
// up to 3 in 100 of their answers a second time, late.
func secondAnswer(d *deployment, trouble bool) ([]string, error) {
	f := newFleet()
	for i := range 2 {
		zone := fmt.Sprintf("zone-%c", 'a'+i)
		for _, phase := range []string{"prefill", "decode"} {
			r := &runner{id: fmt.Sprintf("i-%s-%d", phase, i+1), service: "llm", zone: zone, phase: phase, slots: 64, pace: 10 * time.Millisecond, fleet: f, record: d.record}
			if phase == "decode" {
				r.extraShare = garbledShare
			}
			if err := d.addRunner(r); err != nil {
				return nil, err
			}
		}
	}
	if err := d.startEntries(3); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second) // the entry processes learn of each other
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(warmUp)
		if trouble {
			disrupt(d, f)
		}
	}()
	c := newClients(d, "verdict")
	c.sendFor(warmUp+spells*spellLength, ratePerS)
	<-done
	time.Sleep(time.Second)
	return checkOnce(d, f, c), nil
}

// disrupt causes the disruption.
func disrupt(d *deployment, f *fleet) {
	for n := range spells {
		id := fmt.Sprintf("i-prefill-%d", n%2+1)
		d.record.line("disruption: for %v, the decode servers may send answers twice, at most %v of those of this time", spellLength, garbledShare)
		for _, r := range d.runners {
			r.beginSpell()
		}
		f.set("", true)
		time.Sleep(spellLength - lapseLength)
		d.record.line("disruption: the handles of %s lapse at once for %v", id, lapseLength)
		f.set(id, true)
		time.Sleep(lapseLength)
		f.set("", false)
	}
}

// beginSpell counts the runner's answers anew.
func (r *runner) beginSpell() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers, r.extras = 0, 0
}

// set sets whose handles lapse at once, empty: nobody's, and whether faulty runners send answers twice.
func (f *fleet) set(lapsing string, garble bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lapsing, f.garble = map[string]bool{lapsing: true}, garble
}

// checkOnce returns the requests that ran although their answer promises that they did not, and those that ran twice.
func checkOnce(d *deployment, f *fleet, c *clients) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var broken []string
	byStatus := make(map[int]int)
	for _, o := range c.got {
		runs := f.runs[o.id]
		byStatus[o.status]++
		if promisesNotRun(o.status) && len(runs) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and ran at %v", o.id, o.status, runs))
		}
		if len(runs) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran at %v", o.id, runs))
		}
	}
	d.record.line("answers by status: %v", byStatus)
	return broken
}
