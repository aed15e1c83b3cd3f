package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// These tests guard against repeated crashes caused by a request that crashes every upstream that runs it.
// Callers repeat such a request at any gateway, and gateways retry it at every runner if it is idempotent.
// Before gateways recorded crashes, one request caused 18 to 68 crashes within seconds in these tests.

const (
	crashingPrompt = "no runner survives"
	// maxDetectionTime is how long after the third crash the request may still be sent to runners.
	maxDetectionTime = 3 * time.Second
	maxLaterCrashes  = 3 // largest number of crashes after the request should be held
)

// crashes returns the number of crashes of all runners.
func (f *fleet) crashes() int {
	n := 0
	for _, r := range f.runners {
		n += r.Stats().Crashes
	}
	return n
}

// TestCrashingRequestIsQuarantined guards against a request to a model that goes on crashing runners. It repeats
// the request at two gateways in turn: on an idempotent route, on a route that is not idempotent, and with a new
// idempotency key each time.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for name, route := range map[string]string{"idempotent": "chat", "once": "alert", "keyed": "alert"} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, runner.Config{Name: "r1"}, runner.Config{Name: "r2"}, runner.Config{Name: "r3"}, runner.Config{Name: "r4"})
			s := f.settings("gw-1")
			s.Limits.RetryShare = 1
			first := f.start(s)
			second := f.start(f.settings("gw-2"))
			f.setFaults(runner.Faults{CrashPrompt: crashingPrompt, CrashDownMS: 200})
			var thirdCrash time.Time
			beforeDetection := 0 // crashes until the gateways must have detected the cause
			for i, end := 0, time.Now().Add(2*maxDetectionTime+time.Second); time.Now().Before(end); i++ {
				a := testRequest{body: completion(route, crashingPrompt, 20, true), header: map[string]string{}}
				if name == "keyed" {
					a.header[headerIdempotencyKey] = fmt.Sprint("key", i)
				}
				a.header[headerDeadline] = "500"
				[]*testGateway{first, second}[i%2].get(a)
				if thirdCrash.IsZero() && f.crashes() >= 3 {
					thirdCrash = time.Now()
				}
				if thirdCrash.IsZero() || time.Since(thirdCrash) < maxDetectionTime {
					beforeDetection = f.crashes()
				}
				time.Sleep(100 * time.Millisecond)
			}
			if n := f.crashes() - beforeDetection; !thirdCrash.IsZero() && n > maxLaterCrashes {
				t.Errorf("%d crashes, %d of them more than %v after the third; want at most %d", f.crashes(), n, maxDetectionTime, maxLaterCrashes)
			}
			if f.crashes() == 0 {
				t.Error("no runner crashed, so the test checks nothing")
			}
			first.eventually("other requests are served", func() bool {
				return first.get(testRequest{body: completion("chat", "other", 20, true)}).complete
			})
		})
	}
}

// crashingUpstream is an upstream of a plain service that crashes when it gets crashingPrompt.
type crashingUpstream struct {
	t        *testing.T
	address  string
	downTime time.Duration // from a crash until it listens again

	mu      sync.Mutex
	server  *http.Server
	crashes int
	closed  bool
}

// newCrashingUpstream starts an upstream that listens again 200 ms after a crash.
func newCrashingUpstream(t *testing.T) *crashingUpstream {
	u := &crashingUpstream{t: t, address: testport.Address(t), downTime: 200 * time.Millisecond}
	if err := u.listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.closed = true
		u.server.Close()
	})
	return u
}

// listen starts the server, at the same address as before a crash.
func (u *crashingUpstream) listen() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.listenLocked()
}

// listenLocked is listen for callers that hold u.mu.
func (u *crashingUpstream) listenLocked() error {
	if u.closed {
		return nil
	}
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.server = &http.Server{Handler: u}
	go u.server.Serve(l)
	return nil
}

// ServeHTTP implements http.Handler. For crashingPrompt it closes the server without an answer.
func (u *crashingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if string(body) != crashingPrompt {
		_, _ = io.WriteString(w, "answer")
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashes++
	go u.restart(u.server)
	panic(http.ErrAbortHandler)
}

// restart closes the server that crashed, and listens again downTime after the port is free.
func (u *crashingUpstream) restart(crashed *http.Server) {
	crashed.Close()
	time.Sleep(u.downTime)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server != crashed {
		return // another request that crashed the same server has restarted it
	}
	if err := u.listenLocked(); err != nil {
		u.t.Errorf("an upstream doesn't listen again: %v", err)
	}
}

// count returns the number of crashes.
func (u *crashingUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashes
}

// TestCrashingServiceRequestIsQuarantined guards against a call that goes on crashing the upstreams of a plain
// service. It repeats the call, which must then be refused as quarantined while other calls are served.
func TestCrashingServiceRequestIsQuarantined(t *testing.T) {
	f := newFleet(t)
	spec := resource.Service{}
	var upstreams []*crashingUpstream
	for i := range 3 {
		u := newCrashingUpstream(t)
		upstreams = append(upstreams, u)
		spec.Upstreams = append(spec.Upstreams, resource.ServiceUpstream{
			Name: fmt.Sprint("u", i), Address: "http://" + u.address, Zone: testZone, State: resource.RunnerServing,
		})
	}
	f.put(resource.KindService, "board", spec)
	f.putServiceRoute("board", "/board/", "")
	g := f.start(f.settings("gw-1"))
	g.eventually("the service answers", func() bool { return g.get(testRequest{path: "/board/x", body: "other"}).status == http.StatusOK })
	crashes := func() (n int) {
		for _, u := range upstreams {
			n += u.count()
		}
		return n
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		g.get(testRequest{path: "/board/x", body: crashingPrompt})
	}
	if n := crashes(); n == 0 || n > 3+maxLaterCrashes {
		t.Errorf("%d crashes by one request", n)
	}
	g.get(testRequest{path: "/board/x", body: crashingPrompt}).wantError(t, errkind.Quarantined, errkind.NotRun)
	g.eventually("other requests are served", func() bool { return g.get(testRequest{path: "/board/x", body: "other"}).status == http.StatusOK })
}

// serveCrashing starts a gateway with a plain service whose upstreams crash.
func (f *fleet) serveCrashing(upstreams []*crashingUpstream) *testGateway {
	spec := resource.Service{}
	for i, u := range upstreams {
		spec.Upstreams = append(spec.Upstreams, resource.ServiceUpstream{
			Name: fmt.Sprint("u", i), Address: "http://" + u.address, Zone: testZone, State: resource.RunnerServing,
		})
	}
	f.put(resource.KindService, "board", spec)
	f.putServiceRoute("board", "/board/", "")
	g := f.start(f.settings("gw-1"))
	g.eventually("the service answers", func() bool { return g.get(testRequest{path: "/board/x", body: "other"}).status == http.StatusOK })
	return g
}

// TestCrashingRequestIsQuarantinedIfServiceRestartsAtOnce guards against crashes that go unnoticed because a
// new process listens before the gateway checks whether the crashed process ended. Before such crashes were
// detected, one request caused 8 to 15 crashes, and with a single upstream every send caused one.
func TestCrashingRequestIsQuarantinedIfServiceRestartsAtOnce(t *testing.T) {
	for name, upstreams := range map[string]int{"one upstream": 1, "three": 3} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			var all []*crashingUpstream
			for range upstreams {
				u := newCrashingUpstream(t)
				u.downTime = time.Millisecond
				all = append(all, u)
			}
			g := f.serveCrashing(all)
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				g.get(testRequest{path: "/board/x", body: crashingPrompt})
			}
			crashes := 0
			for _, u := range all {
				crashes += u.count()
			}
			if crashes == 0 || crashes > 3+maxLaterCrashes {
				t.Errorf("%d crashes by one request", crashes)
			}
			g.get(testRequest{path: "/board/x", body: crashingPrompt}).wantError(t, errkind.Quarantined, errkind.NotRun)
			g.eventually("other requests are served", func() bool { return g.get(testRequest{path: "/board/x", body: "other"}).status == http.StatusOK })
		})
	}
}

// TestRequestsToUnavailableServiceAreNotQuarantined guards against counting refused connections as crashes. When
// that happened, requests that had never reached an upstream were held for ten minutes.
func TestRequestsToUnavailableServiceAreNotQuarantined(t *testing.T) {
	f := newFleet(t)
	all := []*crashingUpstream{newCrashingUpstream(t), newCrashingUpstream(t)}
	g := f.serveCrashing(all)
	for _, u := range all {
		u.server.Close()
	}
	for range 16 {
		g.get(testRequest{path: "/board/x", body: "other"})
		time.Sleep(150 * time.Millisecond)
	}
	for _, u := range all {
		if err := u.listen(); err != nil {
			t.Fatal(err)
		}
	}
	g.eventually("the request is served", func() bool { return g.get(testRequest{path: "/board/x", body: "other"}).status == http.StatusOK })
}
