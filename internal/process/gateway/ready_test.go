package gateway

import "testing"

// TestReadyOnceRunnersWereAsked: a gateway that knows its configuration but no runner's
// state would refuse the first requests.
func TestReadyOnceRunnersWereAsked(t *testing.T) {
	p := &poller{unasked: map[string]bool{"r1": true, "r2": true}}
	p.asked("r1")
	if p.firstAsked() {
		t.Error("ready although r2 was not asked yet")
	}
	p.asked("r2")
	if !p.firstAsked() {
		t.Error("not ready although all were asked")
	}
	p.unasked["r3"] = true
	if !p.firstAsked() {
		t.Error("a runner that comes later takes the readiness back")
	}
}
