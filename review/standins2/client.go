package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	id, process, path string
	sent, ended       time.Time
	status            int
	seal              string
	body              string
	err               error
}

// clients send requests and keep what they got.
type clients struct {
	d      *deployment
	lastID atomic.Int64
	wg     sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// newTransport returns the channels of one client.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 12 * time.Second, DisableCompression: true}
}

// send sends one request over a client's channels and records it.
func (c *clients) send(t *http.Transport, p *process, method, host, path, body string, leftMS int, headers map[string]string) answer {
	a := answer{id: fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, c.lastID.Add(1)), process: p.name, path: path, sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+p.callers+path, strings.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	req.GetBody = nil // no request is sent again by the client's library
	req.Host = host
	req.Header.Set(names["id"], a.id)
	req.Header.Set(names["left"], fmt.Sprint(leftMS))
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := t.RoundTrip(req)
	if err == nil {
		var data []byte
		a.status, a.seal = resp.StatusCode, resp.Header.Get(names["seal"])
		data, err = io.ReadAll(resp.Body)
		a.body = string(data)
		_ = resp.Body.Close()
	}
	a.err, a.ended = err, time.Now()
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	c.d.rec.line("client: %s %s at %s sent %.3f status %d seal %q error %v", a.id, path, p.name, a.sent.Sub(c.d.rec.start).Seconds(), a.status, a.seal, a.err)
	return a
}

// all returns the answers so far.
func (c *clients) all() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer(nil), c.answers...)
}

// steady has one client send a request every interval until stop is closed, each when its time has come, over kept channels.
func (c *clients) steady(stop <-chan struct{}, interval time.Duration, send func(t *http.Transport)) {
	c.wg.Go(func() {
		t := newTransport()
		defer t.CloseIdleConnections()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				c.wg.Go(func() { send(t) })
			}
		}
	})
}
