package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached an upstream.
type arrival struct {
	id      string
	at      time.Time
	prefill bool
	path    string
	ran     bool // it began to run
	ended   bool // its answer was complete
}

// upstreamConfig describes a runner: a plain service if it has no role.
type upstreamConfig struct {
	id, service, zone, role string
	slots                   int
	work                    time.Duration // of a request, or of each event of a stream
	tokensPerMS             float64       // prompt tokens that it reads in a millisecond, one prompt after the other
	slowness                float64       // how many times as long reading takes; 0: as usual
	events                  int
	version                 string // of its software, which each event names; empty: v1, and events name none
}

// upstream is a runner.
type upstream struct {
	upstreamConfig
	d        *deployment
	listener net.Listener
	server   *http.Server

	reading sync.Mutex // held while a prompt is read

	mu       sync.Mutex
	arrivals []*arrival
	running  int
	orders   int
	kept     map[string]bool // parts of prompts that it has read
	born     int64           // Unix ms of the start of a server that may start again under its id; 0: its entry has none
}

// startUpstream starts an upstream on a free port. It isn't listed yet.
func (d *deployment) startUpstream(cfg upstreamConfig) *upstream {
	return d.startUpstreamAt(cfg, "127.0.0.1:0")
}

// startUpstreamAt starts an upstream on a given address.
func (d *deployment) startUpstreamAt(cfg upstreamConfig, address string) *upstream {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("%v", err)
	}
	u := &upstream{upstreamConfig: cfg, d: d, listener: l, kept: make(map[string]bool)}
	u.server = &http.Server{Handler: u, IdleTimeout: 15 * time.Second}
	go func() { _ = u.server.Serve(l) }() // returns when it is closed
	return u
}

// slowDown has reading take that many times as long from now on.
func (u *upstream) slowDown(factor float64) {
	u.reading.Lock()
	defer u.reading.Unlock()
	u.slowness = factor
	u.d.rec.line("%s reads prompts %g times as slowly from now on", u.id, factor)
}

// list writes the upstream's entry.
func (u *upstream) list(state string) {
	u.mu.Lock()
	e := map[string]any{
		"service": u.service, "address": u.listener.Addr().String(), "zone": u.zone, "version": cmp.Or(u.version, "v1"), "slots": u.slots,
		"state": state, names["cold"]: 0, "sequence": u.orders,
	}
	if u.born > 0 {
		e["born"] = u.born
	}
	if u.role != "" {
		e["phase"] = u.role
	}
	u.mu.Unlock()
	u.d.store.Put("servers", u.id, e)
	u.d.rec.line("store: entry of %s (%s %s) is %s", u.id, u.service, u.role, state)
}

// unlist removes the upstream's entry and returns when the store has done so.
func (u *upstream) unlist() time.Time {
	u.d.store.Remove("servers", u.id)
	u.d.rec.line("store: entry of %s is removed", u.id)
	return time.Now()
}

// exit ends the upstream, with all its channels.
func (u *upstream) exit() {
	_ = u.server.Close() // it has no further use
	u.d.rec.line("%s has exited", u.id)
}

// received returns the requests that reached the upstream.
func (u *upstream) received() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]arrival, 0, len(u.arrivals))
	for _, a := range u.arrivals {
		out = append(out, *a)
	}
	return out
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(names["expect"]); expected != "" && expected != u.id {
		w.Header().Set(names["by"], u.id)
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set(names["by"], u.id)
	case r.URL.Path == names["report"]:
		u.mu.Lock()
		defer u.mu.Unlock()
		report := map[string]any{"phase": u.role, "busy": false, "sequence": u.orders, "queued": 0, "running": u.running}
		if u.born > 0 {
			report["born"] = u.born
		}
		u.answer(w, report)
	case r.URL.Path == names["order"]:
		u.mu.Lock()
		defer u.mu.Unlock()
		w.WriteHeader(http.StatusConflict) // another order is in progress
	case strings.HasPrefix(r.URL.Path, names["handles"]):
		u.answer(w, map[string]any{})
	default:
		u.serve(w, r)
	}
}

// answer writes a JSON body.
func (u *upstream) answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

// serve serves a request of a client.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := &arrival{id: r.Header.Get(names["id"]), at: time.Now(), prefill: r.Header.Get(names["phase"]) == "prefill", path: r.URL.EscapedPath()}
	u.mu.Lock()
	u.arrivals = append(u.arrivals, a)
	full := u.running >= u.slots
	wrongRole := u.role != "" && a.prefill != (u.role == "prefill")
	if !full && !wrongRole {
		u.running++
		a.ran = true
	}
	load := fmt.Sprintf("%d,0,%d", u.running, u.slots)
	u.mu.Unlock()
	w.Header().Set(names["id"], a.id)
	w.Header().Set(names["load"], load)
	switch {
	case wrongRole:
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		w.Header().Set(names["notRun"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.running--
	}()
	if a.prefill {
		if tokens, ok := u.read(r); ok {
			u.answer(w, map[string]any{names["handle"]: "h" + a.id, "tokens": tokens, "version": 1})
			u.end(a)
		}
		return
	}
	w.Header().Set(names["seal"], "seal."+a.id+"."+u.id)
	if u.role == "" {
		if !u.sleep(r, u.work) {
			return
		}
		text := plainBody(u.service, a.id, body)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		if _, err := io.WriteString(w, text); err == nil {
			u.end(a)
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	had, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // empty: none
	for n := had + 1; n <= u.events; n++ {
		if !u.sleep(r, u.work) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s/%d %s\n\n", n, a.id, n, u.version); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // the next write shows that the caller has left
	}
	u.end(a)
}

// read reads the parts of a request's prompt that the upstream doesn't keep, behind the prompts that came before. It returns
// the tokens of the prompt, and false if the caller leaves first.
func (u *upstream) read(r *http.Request) (tokens int, ok bool) {
	u.reading.Lock()
	defer u.reading.Unlock()
	missing := 0
	u.mu.Lock()
	for part := range strings.SplitSeq(r.Header.Get(names["parts"]), ",") {
		id, size, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(size) // the client is one of this program
		tokens += n
		if !u.kept[id] {
			missing += n
		}
		u.kept[id] = true
	}
	u.mu.Unlock()
	took := time.Duration(float64(missing) / u.tokensPerMS * float64(time.Millisecond))
	return tokens, u.sleep(r, time.Duration(max(1, u.slowness)*float64(took)))
}

// plainBody is the answer of a plain service.
func plainBody(service, id string, body []byte) string {
	return fmt.Sprintf("%s answers %s: %s", service, id, body)
}

// end records that an answer was complete.
func (u *upstream) end(a *arrival) {
	u.mu.Lock()
	defer u.mu.Unlock()
	a.ended = true
}

// sleep waits. It returns false if the caller leaves first.
func (u *upstream) sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
