package main

import (
	"fmt"
	"time"
)

// Doses of the case strange-bytes, at most the largest ones that the site file names.
const (
	strangeSpell  = 5 * time.Second // garble for_s
	strangeSpells = 10              // one after another
	strangeShare  = 0.03            // garble x: share of the answers of a faulty runner in one spell
	strangeRate   = 60              // requests per second
)

// strangeBytes checks TWICE: a request that may run once at most runs twice. Disruption: two of four servers send, after at
// most 3 in 100 of their answers, more bytes, late. The bytes are those of a rejection without an id.
func strangeBytes(d *deployment, trouble bool) ([]string, error) {
	f := newFleet()
	for i := range 4 {
		r := &runner{id: fmt.Sprintf("i-app-%d", i+1), service: "app", zone: fmt.Sprintf("zone-%c", 'a'+i%3), slots: 6, pace: 30 * time.Millisecond, fleet: f, record: d.record}
		if i < 2 {
			r.extraShare = strangeShare
			r.additional = answer{status: 503, header: [][2]string{{names["notRun"], "1"}}}.bytes()
		}
		if err := d.addRunner(r); err != nil {
			return nil, err
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
		for range strangeSpells {
			for _, r := range d.runners {
				r.beginSpell()
			}
			if trouble {
				d.record.line("disruption: for %v, two servers may send more bytes after an answer, at most %v of those of this time", strangeSpell, strangeShare)
				f.set("", true)
			}
			time.Sleep(strangeSpell)
		}
	}()
	c := newClients(d, "once")
	c.sendFor(warmUp+strangeSpells*strangeSpell, strangeRate)
	<-done
	time.Sleep(time.Second)
	return checkOnce(d, f, c), nil
}
