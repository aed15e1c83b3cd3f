package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
)

// TestGracefulShutdownUnderLoad guards against failing requests while a gateway shuts down. As with a load
// balancer, requests go to that gateway until it is not ready and to another one after that.
func TestGracefulShutdownUnderLoad(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"})
	stopping := f.start(f.settings("gw-1"))
	remaining := f.start(f.settings("gw-2"))
	var wait sync.WaitGroup
	done := make(chan struct{})
	var completed, atRemaining int
	var mu sync.Mutex
	for range 8 {
		wait.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				// Like a load balancer, send new requests to a ready instance.
				g := stopping
				if ok, _ := (opsSource{stopping.Gateway}).Ready(); !ok {
					g = remaining
				}
				p := g.get(testRequest{body: completion("alert", "load", 300, true)})
				mu.Lock()
				if p.complete && p.text == answerTo("load", 300) {
					completed++
				} else {
					t.Errorf("incomplete: status %d, %d bytes, error %+v", p.status, len(p.text), p.err)
				}
				if g == remaining {
					atRemaining++
				}
				mu.Unlock()
			}
		})
	}
	stopping.eventually("requests are answered", func() bool { mu.Lock(); defer mu.Unlock(); return completed > 20 })
	stopping.stop()
	remaining.eventually("requests go to the other gateway", func() bool { mu.Lock(); defer mu.Unlock(); return atRemaining > 20 })
	close(done)
	wait.Wait()
}

// TestDrainTimeoutReportsRunState guards against a wrong run state in the error for a request that is still in
// flight at the drain timeout: its run has started, so the error must state ran.
func TestDrainTimeoutReportsRunState(t *testing.T) {
	f := newFleet(t, runner.Config{Name: "r1"})
	s := f.settings("gw-1")
	s.Stop.DrainMS = 100
	g := f.start(s)
	resp, err := testRequest{body: completion("alert", "p", 400, true)}.do(g)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	f.runners["r1"].Freeze()
	time.AfterFunc(time.Second, f.runners["r1"].Thaw)
	done := make(chan testResponse, 1)
	go func() { done <- readResponse(resp) }()
	g.stop()
	receive(t, "the response", done).wantError(t, errkind.Draining, errkind.Ran)
}
