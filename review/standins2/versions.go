package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["5"] = restartedVersion }

// resumableConfig has one route whose streams their callers may take up again.
const resumableConfig = `{"version":3,"routes":[
	{"name":"reply","hostname":"chat.example","pathPrefix":"/reply/","kind":"streaming","timeoutMs":15000,"service":"assistant","priority":1,"maxAttempts":1,"sticky":true,"resumable":true}],
	"services":[{"name":"assistant","healthPath":"/healthz","maxConnections":360,"engine":{"slots":8,"kvTokens":1470480,"kvHoldS":5.0,"roleSwitchS":3.0,"stride":1}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const (
	// engines is the number of servers, of which one starts again.
	engines = 6
	// streamEvents and eventPause make a stream of 4 s.
	streamEvents = 80
	eventPause   = 50 * time.Millisecond
	// storeDown is how long the store answers nothing; the server starts again restartAfter its beginning.
	storeDown    = 4500 * time.Millisecond
	restartAfter = 1500 * time.Millisecond
	// startTime is how long the server is away.
	startTime = 300 * time.Millisecond
	// takeUps is how often a client takes a stream up again, each time takeUpPause after the end of the last attempt.
	takeUps     = 3
	takeUpPause = 400 * time.Millisecond
	// restarts is how often a server starts again.
	restarts = 3
)

// storeGate passes calls on to the store, unless it is down: then they get no answer.
type storeGate struct {
	next http.Handler

	mu sync.Mutex
	up chan struct{} // closed while the store is up
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	up := g.up
	g.mu.Unlock()
	select {
	case <-up:
	default:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	held := httptest.NewRecorder()
	g.next.ServeHTTP(held, r)
	if r.Context().Err() != nil {
		return // the caller left
	}
	g.mu.Lock()
	up = g.up
	g.mu.Unlock()
	select {
	case <-up:
	default:
		<-r.Context().Done() // the answer comes while the store is down
		panic(http.ErrAbortHandler)
	}
	for name, values := range held.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(held.Code)
	_, _ = w.Write(held.Body.Bytes()) // the caller may have left
}

// setDown has the store be down from now on, or up again.
func (g *storeGate) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if down {
		g.up = make(chan struct{})
		return
	}
	close(g.up)
}

// restartedVersion has a server start again under its id with another version of its software, and clients take up the
// streams that broke off. With the disruption, the store is down meanwhile, so that the server's entry is late.
func restartedVersion(d *deployment, trouble bool) (broken bool) {
	gate := &storeGate{next: d.gate, up: make(chan struct{})}
	gate.setDown(false)
	d.address = d.serve(gate)
	d.configure(resumableConfig)
	var servers []*upstream
	start := func(i int, version, address string) *upstream {
		u := d.startUpstreamAt(upstreamConfig{id: fmt.Sprintf("i-7f00000%d", i), service: "assistant", zone: "a", role: "decode", slots: 8,
			work: eventPause, events: streamEvents, version: version}, address)
		u.born = time.Now().UnixMilli()
		return u
	}
	for i := range engines {
		u := start(i, "v1.1", "127.0.0.1:0")
		u.list("ready")
		servers = append(servers, u)
	}
	processes := []*process{d.start("edge-a-1", "a"), d.start("edge-a-2", "a"), d.start("edge-b-1", "b")}
	d.awaitReady()
	time.Sleep(4 * time.Second)
	c, stop := &clients{d: d}, make(chan struct{})
	streams := &takenUp{c: c, processes: processes, pause: takeUpPause}
	for range 4 {
		c.steady(stop, 380*time.Millisecond, func(*http.Transport) { streams.play() })
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	for i := range restarts {
		if trouble {
			gate.setDown(true)
			d.rec.line("store: down")
		}
		time.Sleep(restartAfter)
		old := servers[i]
		old.exit()
		time.Sleep(startTime)
		servers[i] = start(i, "v1.2", old.listener.Addr().String())
		d.rec.line("%s has started again with v1.2", old.id)
		if trouble {
			time.Sleep(storeDown - restartAfter - startTime)
			gate.setDown(false)
			d.rec.line("store: up")
		}
		servers[i].list("ready") // the store accepts it
		time.Sleep(7 * time.Second)
	}
	close(stop)
	c.wg.Wait()
	two, taken, whole := streams.count()
	text := fmt.Sprintf("ORDER: %d of %d streams that clients took up again hold events of two versions; %d streams, %d whole", two, taken, len(streams.texts), whole)
	d.rec.line("%s", text)
	fmt.Println(text)
	return two > 2
}

// takenUp are streams that their clients take up again if they break off.
type takenUp struct {
	c         *clients
	processes []*process
	pause     time.Duration // from the end of an attempt to the next one

	mu    sync.Mutex
	next  int
	texts []streamText
}

// streamText is what a client got of one stream over all attempts.
type streamText struct {
	first    string // id of the attempt that brought the first event
	text     string
	attempts int // with events
	whole    bool
	refused  bool // it never began, as the first attempt was answered and brought no event
	takenUp  bool // its client took it up again
}

// eventPattern matches an event, with its number and version.
var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: \S+ (v[\d.]+)\n\n`)

// play sends one request, takes its stream up while it breaks off, and keeps what the client got.
func (t *takenUp) play() {
	var s streamText
	last := ""
	for try := range 1 + takeUps {
		t.mu.Lock()
		p := t.processes[t.next%len(t.processes)]
		t.next++
		t.mu.Unlock()
		headers := map[string]string{names["model"]: "m", names["usage"]: "220,80", names["parts"]: fmt.Sprintf("5c1e07a2:79,%08x:141", time.Now().UnixNano()&0xffffffff)}
		if last != "" {
			headers["Resumes"], headers["Last-Event-Id"] = s.first, last
		}
		transport := newTransport()
		a := t.c.send(transport, p, http.MethodPost, "chat.example", "/reply/7", fmt.Sprintf("question %d", t.number()), 15000, headers)
		transport.CloseIdleConnections()
		if a.status == http.StatusOK {
			if found := eventPattern.FindAllStringSubmatch(a.body, -1); len(found) > 0 {
				if s.first == "" {
					s.first = a.id
				}
				s.attempts++
				s.text += a.body
				last = found[len(found)-1][1]
			}
		}
		s.refused = s.first == "" && a.status != 0
		if s.whole = a.status == http.StatusOK && a.err == nil; s.whole || s.first == "" || try == takeUps {
			break
		}
		s.takenUp = true
		time.Sleep(t.pause)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.texts = append(t.texts, s)
}

// number returns a number that no other attempt has.
func (t *takenUp) number() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next++
	return t.next
}

// count returns how many streams hold events of two versions, how many were taken up and went on, and how many are whole.
func (t *takenUp) count() (two, taken, whole int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.texts {
		if s.attempts > 1 {
			taken++
		}
		if s.whole {
			whole++
		}
		if strings.Contains(s.text, " v1.1\n") && strings.Contains(s.text, " v1.2\n") {
			two++
			versions := ""
			for _, e := range eventPattern.FindAllStringSubmatch(s.text, -1) {
				versions += e[1] + ":" + e[2] + " "
			}
			t.c.d.rec.line("the stream that began as %s holds events of two versions: %s", s.first, versions)
		}
	}
	return two, taken, whole
}
