package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is what a client got for one attempt.
type outcome struct {
	id     string
	status int // 0: no answer
	whole  bool
}

// clients send requests and keep what they got.
type clients struct {
	d      *deployment
	route  string
	http   *http.Transport
	serial atomic.Int64
	mu     sync.Mutex
	got    []outcome
}

func newClients(d *deployment, route string) *clients {
	return &clients{d: d, route: route, http: &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 5 * time.Second}}
}

// request sends one request of the clients' route, which may run once at most, and once more after an answer that
// promises that it has not run and never will.
func (c *clients) request() {
	start := time.Now()
	const budget = 2 * time.Second
	for try := range 2 {
		left := budget - time.Since(start)
		o, retryAfter := c.attempt(left)
		if try > 0 || !promisesNotRun(o.status) || time.Since(start)+retryAfter >= budget {
			return
		}
		time.Sleep(retryAfter)
	}
}

func promisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// attempt sends one attempt under an id of its own.
func (c *clients) attempt(left time.Duration) (outcome, time.Duration) {
	n := c.serial.Add(1)
	id := fmt.Sprintf("%016x", 0x5eed<<32+n)
	p := c.d.entries[int(n)%len(c.d.entries)]
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	// MultiReader hides that the body could be read again, so that net/http can't send the request twice.
	body := "body of " + id
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+"/"+c.route+"/2f", io.MultiReader(strings.NewReader(body)))
	if err != nil {
		panic(err)
	}
	req.ContentLength, req.Host = int64(len(body)), host
	req.Header.Set(names["attempt"], id)
	req.Header.Set(names["timeLeft"], fmt.Sprint(left.Milliseconds()))
	if c.route == "verdict" {
		req.Header.Set(names["model"], "m")
		req.Header.Set(names["tokens"], "9190,2")
		req.Header.Set(names["prompt"], fmt.Sprintf("a1:2520,b%d:3780,%s:2890", n%20, id))
	}
	c.d.record.line("client: sends %s to %s", id, p.name)
	o := outcome{id: id}
	var retryAfter time.Duration
	resp, err := c.http.RoundTrip(req)
	if err == nil {
		data, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		o.status, o.whole = resp.StatusCode, readErr == nil
		if seconds := resp.Header.Get("Retry-After"); seconds != "" {
			var s float64
			_, _ = fmt.Sscan(seconds, &s)
			retryAfter = min(time.Duration(s*float64(time.Second)), left/3)
		}
		c.d.record.line("client: %s is answered %d, whole %t, seal %q: %.80q", id, o.status, o.whole, resp.Header.Get(names["seal"]), data)
	} else {
		c.d.record.line("client: %s has no answer: %v", id, err)
	}
	c.mu.Lock()
	c.got = append(c.got, o)
	c.mu.Unlock()
	return o, retryAfter
}

// sendFor sends requests at a rate for a while and waits for the answers.
func (c *clients) sendFor(length time.Duration, perSecond int) {
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-tick.C {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.request()
		}()
	}
	wg.Wait()
}
