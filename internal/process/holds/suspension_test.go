package holds

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/request/quarantine"
)

// TestDeadlyWorkStaysHeldWhileItsPartIsBlamed guards against deadly work that comes back everywhere: an instance that hadn't
// answered a part of its prompt lately held the part for the same crashes and removed the record of the work's hold. When a
// request with the part was answered, nothing held the work any more.
func TestDeadlyWorkStaysHeldWhileItsPartIsBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.follow(f.instances...)
		part := quarantine.PartContent("p")
		informed := f.instances[0]
		for range 100 {
			informed.PartsAnswered([]quarantine.Content{part})
			for _, other := range f.instances[1:] {
				other.PartsAnswered(nil)
			}
		}
		for i := range 4 {
			sent := time.Now()
			time.Sleep(150 * time.Millisecond)
			incarnation := quarantine.Incarnation(fmt.Sprint("upstream", i))
			informed.sendWithPartsBroken(&BrokenSend{Content: work, Parts: []string{"p"}, Incarnation: incarnation, Sent: sent})
			informed.UpstreamEnded(incarnation, "test")
			time.Sleep(time.Millisecond)
		}
		if !f.instances[1].Held(part) {
			t.Fatal("no instance blames the part, so the test proves nothing")
		}
		time.Sleep(settleTime)
		f.checkRefused("while the part is held", part)
		informed.Succeeded(part)
		time.Sleep(time.Second)
		f.checkRefused("after the part was answered")
		time.Sleep(settleTime)
		f.checkRefused("later")
	})
}

// checkRefused checks that all instances refuse the work, for itself or for one of the parts of its prompt, and that its
// hold is on the platform.
func (f *fleet) checkRefused(when string, parts ...quarantine.Content) {
	f.t.Helper()
	for _, m := range f.instances {
		if !m.Held(work, parts...) {
			f.t.Errorf("%s: %s lets the work through", when, m.cfg.Instance)
		}
	}
	for _, o := range storedHolds(f.t, f.store) {
		if o.Name == work.String() {
			return
		}
	}
	f.t.Errorf("%s: the hold isn't on the platform", when)
}
