package controller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/gateway"
	"github.com/ragworttrestle/ragworttrestle/internal/process/settings"
	"github.com/ragworttrestle/ragworttrestle/internal/testport"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

// clientKey is the API key of the client account that sends the requests.
const clientKey = "key-of-the-test"

// startGateway runs a gateway until the end of the test and returns its base URL.
func (s *testEnv) startGateway(name string, seeds ...string) string {
	s.t.Helper()
	sum := sha256.Sum256([]byte(clientKey))
	s.put(resource.KindClientAccount, "test", resource.ClientAccount{KeyHashes: []string{hex.EncodeToString(sum[:])}, MaxPriority: 9})
	s.put(resource.KindRoute, "chat", resource.Route{Model: "smoke", MaxTokens: 250})
	set := &settings.Gateway{
		Instance:  settings.Instance{Name: name, Zone: testZone},
		Listen:    settings.Listener{Address: testport.Address(s.t)},
		Platform:  settings.Platform{Address: "http://127.0.0.1:1"},
		Peer:      settings.Peer{Listen: settings.Listener{Address: testport.Address(s.t)}, SharedKey: settings.Secret{File: s.peerKey}, HeartbeatMS: 100, Seeds: seeds},
		Operators: settings.Operators{Listen: settings.Listener{Address: testport.Address(s.t)}},
		Stop:      settings.Stop{BalancerMS: 50, DrainMS: 10_000},
	}
	set.SetDefaults()
	g, err := gateway.New(gateway.Config{Settings: set, Store: s.store})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			s.t.Errorf("gateway: %v", err)
		}
	})
	return "http://" + g.Addresses().Callers.String()
}

// callers sends requests concurrently until stop is called, and counts the results.
type callers struct {
	succeeded    atomic.Int32
	failed       atomic.Int32
	firstFailure atomic.Value
	stop         func()
}

// startCallers starts n callers that each send one request after another to a gateway.
func startCallers(base string, n int) *callers {
	c := &callers{}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for range n {
		done.Go(func() {
			for ctx.Err() == nil {
				c.call(base)
			}
		})
	}
	c.stop = sync.OnceFunc(func() {
		cancel()
		done.Wait()
	})
	return c
}

// call sends one request and checks the response. The request runs for two seconds, which is
// longer than a drain mark takes to be in force.
func (c *callers) call(base string) {
	body := `{"model":"chat","prompt":"how is the air [out=200]","max_tokens":250,"stream":true}`
	req, err := http.NewRequest(http.MethodPost, base+"/v1/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+clientKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		c.recordFailure(err.Error())
		return
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	text := string(raw)
	if err != nil || resp.StatusCode != http.StatusOK || !strings.Contains(text, "[DONE]") || strings.Contains(text, `"error"`) {
		c.recordFailure(resp.Status + " " + text)
		return
	}
	c.succeeded.Add(1)
}

func (c *callers) recordFailure(reason string) {
	if c.failed.Add(1) == 1 {
		c.firstFailure.Store(reason)
	}
}

// A rolling release of a new version under load must not cut off or fail any request. The engines
// do not check fencing tokens here.
func TestRollingReleaseCutsNoRequest(t *testing.T) {
	s := newTestEnv(t, false, "r1", "r2", "r3")
	p := s.start("c-a")
	s.leader(p)
	base := s.startGateway("g-a", p.Addresses().Peers.String())
	for name := range s.runners {
		s.waitForPhase(name, "serving")
	}
	s.waitFor("the gateway serves", func() bool {
		probe := &callers{}
		probe.call(base)
		return probe.succeeded.Load() == 1
	})
	load := startCallers(base, 6)
	t.Cleanup(load.stop)
	for name := range s.runners {
		s.edit(name, func(r *resource.Runner) { r.Versions = []string{"v2"} })
	}
	s.waitFor("every runner holds v2 alone", func() bool {
		for _, r := range s.runners {
			l := r.State().Loaded
			if len(l) != 1 || l[0].Version != "v2" {
				return false
			}
		}
		return true
	})
	time.Sleep(500 * time.Millisecond)
	load.stop()
	cut := 0
	for name, r := range s.runners {
		cut += r.Stats().CutByOrders
		if n := s.orders(name); n != 2 {
			t.Errorf("%d orders at %s, want a load and an unload", n, name)
		}
	}
	t.Logf("%d requests succeeded, %d failed, %d runs cut by orders", load.succeeded.Load(), load.failed.Load(), cut)
	if load.failed.Load() > 0 || cut > 0 {
		t.Errorf("%d requests failed, first: %v; %d cut by orders", load.failed.Load(), load.firstFailure.Load(), cut)
	}
}
