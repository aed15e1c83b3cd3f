package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/upstream"
	standin "github.com/ragworttrestle/ragworttrestle/internal/standin/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/standin/runner"
)

const (
	keyedCallers     = 6
	keyedRequests    = 20 // per caller
	maxKeyedAttempts = 400
)

// setFault replaces the injected fault of the platform.
func (s *stack) setFault(fault standin.FaultBody) {
	s.t.Helper()
	putAdmin(s.t, s.platformURL+"/admin/fault", fault)
}

// TestServingDuringPlatformOutage guards against gateways that stop serving requests
// during an outage of the platform.
func TestServingDuringPlatformOutage(t *testing.T) {
	s := newStack(t)
	l := startLoad(s.gateways, loadCallers)
	time.Sleep(loadPhase)
	s.setFault(standin.FaultBody{Outage: true})
	before := l.whole.Load()
	time.Sleep(4 * loadPhase)
	during := l.whole.Load() - before
	s.setFault(standin.FaultBody{})
	time.Sleep(loadPhase)
	l.finish()
	checkResult(t, l, s)
	if during == 0 {
		t.Error("no request was completed during the outage of the platform")
	}
}

// TestKeyedRequestsRunOnceDespiteGatewayKill kills a gateway while callers send requests
// with an Idempotency-Key. A caller retries at another gateway after anything but a
// complete response. Every request must get its complete response in the end, and no
// request may run twice.
func TestKeyedRequestsRunOnceDespiteGatewayKill(t *testing.T) {
	s := newStack(t)
	l := &load{gateways: s.gateways, client: &http.Client{Timeout: testTimeout}}
	var callers sync.WaitGroup
	for c := range keyedCallers {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := range keyedRequests {
				l.requestWithKey(fmt.Sprintf("k%d-n%d", c, n), c)
			}
		}()
	}
	time.Sleep(loadPhase)
	s.gateways[0].process.kill()
	time.Sleep(loadPhase)
	s.gateways[0].process.start()
	ended := make(chan struct{})
	go func() {
		callers.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for the callers: %d complete responses, want %d", l.whole.Load(), keyedCallers*keyedRequests)
	}
	checkResult(t, l, s)
	if got := l.whole.Load(); got != keyedCallers*keyedRequests {
		t.Errorf("%d complete responses, want %d", got, keyedCallers*keyedRequests)
	}
}

// requestWithKey retries a request with the same key until the response is complete.
func (l *load) requestWithKey(marker string, turn int) {
	last := ""
	for range maxKeyedAttempts {
		g := l.gateways[turn%len(l.gateways)]
		turn++
		text, problem := l.attemptWithKey(g, marker)
		if problem == "" {
			l.checkText(marker, text)
			return
		}
		last = problem
		time.Sleep(retryInterval)
	}
	l.fail(&l.cut, "%s: no complete response in %d attempts: %s", marker, maxKeyedAttempts, last)
}

// attemptWithKey sends one request and returns its text, or the problem if the response
// is not complete.
func (l *load) attemptWithKey(g *gatewayProcess, marker string) (text, problem string) {
	body := fmt.Sprintf(`{"model": %q, "prompt": %q, "max_tokens": 64}`, alertRoute, prompt(marker))
	request, err := http.NewRequest(http.MethodPost, g.url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return "", err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Idempotency-Key", marker)
	response, err := l.client.Do(request)
	if err != nil {
		return "", err.Error()
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err.Error()
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Sprintf("status %d: %s", response.StatusCode, raw)
	}
	return chunkText(string(raw)), ""
}

// checkText compares the text of a complete answer with the expected one and counts the
// outcome.
func (l *load) checkText(marker, text string) {
	want := runner.OutputText(upstream.RunRequest{Model: modelName, Version: versionName, Prompt: prompt(marker), MaxTokens: 64})
	if text != want {
		l.fail(&l.wrong, "%s: got %q, want %q", marker, text, want)
		return
	}
	l.whole.Add(1)
}

// TestPausedLeaseHolderSendsNoStaleOrder guards against orders under a lease that has
// expired. The controller that holds the zone's lease is paused (SIGSTOP) until another
// controller holds the lease. After the first one continues, no runner may accept an
// order of its old lease.
func TestPausedLeaseHolderSendsNoStaleOrder(t *testing.T) {
	s := newStack(t)
	holder := s.waitLeaseHolder(zone(0), "")
	paused := s.controller(holder)
	if err := paused.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	resumed := false
	resume := func() {
		if !resumed {
			resumed = true
			_ = paused.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
	defer resume()
	s.waitLeaseHolder(zone(0), holder)
	s.setRole("runner-0", "decode")
	s.waitRole(0, upstream.RoleDecode)
	resume()
	s.setRole("runner-0", "both")
	s.waitRole(0, upstream.RoleBoth)
	for _, r := range s.runners {
		for _, o := range r.orders(t) {
			if o.Stale {
				t.Errorf("%s: order %+v was accepted after an order of a newer lease holder", r.process.name, o.Order)
			}
		}
	}
}
