package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runner is a small stand-in for an upstream that serves one request at a time on each connection and writes its
// responses by itself, so that it can also send a second response to a request.
type runner struct {
	id, service, zone string
	phase             string // prefill or decode; empty: a plain service
	slots             int
	pace              time.Duration // from a request to its first event, and between events
	fleet             *fleet
	record            *record
	extraShare        float64 // share of the responses that may be followed by more bytes; 0: none
	additional        []byte  // what follows a complete response, late; nil: a second copy of some response

	address string

	mu       sync.Mutex
	handles  map[string]bool // of prompts that were prefilled and not yet taken
	running  int
	answers  int
	extras   int
	orders   int
	changing bool
}

// fleet holds what the runners share.
type fleet struct {
	mu      sync.Mutex
	runners map[string]*runner  // by address
	runs    map[string][]string // ids of the runners that began to run a request, by its id
	lapsing map[string]bool     // ids of the runners whose handles lapse at once
	garble  bool                // faulty runners send second responses now
}

func newFleet() *fleet {
	return &fleet{runners: make(map[string]*runner), runs: make(map[string][]string), lapsing: make(map[string]bool)}
}

// answer is one response.
type answer struct {
	status int
	header [][2]string
	body   string
}

func (a answer) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	for _, h := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return b.Bytes()
}

func (r *runner) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.address, r.handles = l.Addr().String(), make(map[string]bool)
	r.fleet.mu.Lock()
	r.fleet.runners[r.address] = r
	r.fleet.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveConn(c)
		}
	}()
	return nil
}

// entry returns the runner's entry in the store.
func (r *runner) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready", names["cold"]: 0, "sequence": r.orders}
	if r.phase != "" {
		e["phase"] = r.phase
		e["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return e
}

// serveConn serves the requests of one connection.
func (r *runner) serveConn(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var late []byte // bytes after the last response, which the next request of the connection meets
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if late != nil {
			r.record.line("runner %s: sends %q after the answer of the request before on this channel, at the arrival of %s", r.id, late, req.Header.Get(names["attempt"]))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		extra, ok := r.serve(c, req)
		if !ok {
			return
		}
		late = extra
	}
}

// serve serves one request. extra is what follows the response, to be sent later; nil: nothing does.
func (r *runner) serve(c net.Conn, req *http.Request) (extra []byte, ok bool) {
	if want := req.Header.Get(names["instance"]); want != "" && want != r.id {
		return nil, write(c, answer{status: 421, header: [][2]string{{names["servedBy"], r.id}}})
	}
	switch {
	case req.URL.Path == "/healthz":
		return nil, write(c, answer{status: 200, header: [][2]string{{names["servedBy"], r.id}, {names["load"], r.load()}}})
	case req.URL.Path == names["reportPath"]:
		return nil, write(c, answer{status: 200, header: [][2]string{{"Content-Type", "application/json"}}, body: r.report()})
	case req.URL.Path == names["orderPath"]:
		return nil, write(c, r.takeOrder())
	case strings.HasPrefix(req.URL.Path, names["handlePath"]):
		r.mu.Lock()
		delete(r.handles, strings.TrimPrefix(req.URL.Path, names["handlePath"]))
		r.mu.Unlock()
		return nil, write(c, answer{status: 200})
	}
	return r.serveRequest(c, req)
}

func write(c net.Conn, a answer) bool {
	_, err := c.Write(a.bytes())
	return err == nil
}

func (r *runner) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", r.running, r.slots)
}

func (r *runner) report() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"phase": r.phase, "busy": r.changing, "sequence": r.orders, "queued": 0, "running": r.running, "models": []any{}})
	return string(text)
}

// takeOrder refuses orders to change the phase: as a runner that is carrying out another one.
func (r *runner) takeOrder() answer { return answer{status: 409, body: "{}"} }

// serveRequest serves a request of a client, or its prefill.
func (r *runner) serveRequest(c net.Conn, req *http.Request) (extra []byte, ok bool) {
	id := req.Header.Get(names["attempt"])
	head := [][2]string{{names["attempt"], id}, {names["load"], r.load()}}
	prefill := req.Header.Get(names["phase"]) == "prefill"
	switch {
	case r.phase != "" && prefill != (r.phase == "prefill"):
		r.record.line("runner %s: %s meets the wrong phase, 421", r.id, id)
		return nil, write(c, answer{status: 421, header: append(head, [2]string{names["notRun"], "1"})})
	case prefill:
		time.Sleep(r.pace)
		return nil, write(c, r.prefill(id, head))
	}
	if source := req.Header.Get(names["source"]); source != "" && !r.fleet.take(source) {
		a := answer{status: 503, header: append(head, [2]string{names["notRun"], "1"})}
		extra = r.secondCopy(a)
		r.record.line("runner %s: rejects %s, as its handle has lapsed: 503, not executed (a second copy will follow: %t)", r.id, id, extra != nil)
		return extra, write(c, a)
	}
	ok = r.run(c, req, id, head)
	if ok && r.additional != nil && r.mayAdd() {
		extra = r.additional
	}
	return extra, ok
}

// prefill keeps the KV cache of a prompt under a handle.
func (r *runner) prefill(id string, head [][2]string) answer {
	handle := "h" + id
	r.mu.Lock()
	r.handles[handle] = true
	r.mu.Unlock()
	body, _ := json.Marshal(map[string]any{names["handle"]: handle, "tokens": 9190, "version": 1})
	return answer{status: 200, header: append(head, [2]string{"Content-Type", "application/json"}), body: string(body)}
}

// take takes the KV cache at a source, ADDRESS/HANDLE, and reports whether it was there.
func (f *fleet) take(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	f.mu.Lock()
	p := f.runners[address]
	lapsed := p == nil || f.lapsing[p.id]
	f.mu.Unlock()
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.handles[handle]
	delete(p.handles, handle)
	return found && !lapsed
}

// secondCopy counts a response, and returns its bytes if a faulty runner will send it once more, or nil.
func (r *runner) secondCopy(a answer) []byte {
	r.mu.Lock()
	r.answers++
	r.mu.Unlock()
	if r.additional != nil || !r.mayAdd() {
		return nil
	}
	return a.bytes()
}

// mayAdd reports whether a faulty runner may send more bytes after a response, and counts that it does. No more than
// extraShare of its responses are followed by any.
func (r *runner) mayAdd() bool {
	r.fleet.mu.Lock()
	garble := r.fleet.garble
	r.fleet.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !garble || float64(r.extras+1) > r.extraShare*float64(r.answers) {
		return false
	}
	r.extras++
	r.record.line("runner %s: the answer is number %d of this time, and the %d. that will be followed by more bytes", r.id, r.answers, r.extras)
	return true
}

// run runs a request and streams its events.
func (r *runner) run(c net.Conn, req *http.Request, id string, head [][2]string) bool {
	r.fleet.mu.Lock()
	r.fleet.runs[id] = append(r.fleet.runs[id], r.id)
	r.fleet.mu.Unlock()
	r.mu.Lock()
	r.answers++
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.record.line("runner %s: begins to run %s (source %q)", r.id, id, req.Header.Get(names["source"]))
	time.Sleep(r.pace)
	if r.phase == "" {
		return write(c, answer{status: 200, header: append(head, [2]string{names["seal"], "seal-" + id}), body: "answer to " + id})
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n")
	for _, h := range append(head, [2]string{names["seal"], "seal-" + id}, [2]string{"Content-Type", "text/event-stream"}) {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n")
	for n := 1; n <= 2; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, id, n)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
		if _, err := c.Write(b.Bytes()); err != nil {
			r.record.line("runner %s: the channel of %s is closed", r.id, id)
			return false
		}
		b.Reset()
		time.Sleep(r.pace)
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	r.record.line("runner %s: has run %s to its end", r.id, id)
	return err == nil
}
