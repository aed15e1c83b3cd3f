package main

import (
	"embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ragworttrestle/ragworttrestle/platform/standin"
)

//go:embed names.json
var namesFile embed.FS

// names are the names on the platform's wire, by what they stand for.
var names = func() map[string]string {
	out := make(map[string]string)
	data, err := namesFile.ReadFile("names.json")
	if err == nil {
		err = json.Unmarshal(data, &out)
	}
	if err != nil {
		panic(err) // the file is part of the program
	}
	return out
}()

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)) // the verdict doesn't need it
}

// deployment is a store, upstreams and processes of the project.
type deployment struct {
	rec     *record
	dir     string // temporary
	store   *standin.Store
	gate    *watchGate
	address string // of the store
	procs   []*process

	mu    sync.Mutex
	ports map[string]bool
}

// errCannotRun means that the case couldn't run.
type errCannotRun struct{ text string }

func (e errCannotRun) Error() string { return e.text }

// fail ends the scenario, as the case can't run.
func fail(format string, args ...any) { panic(errCannotRun{fmt.Sprintf(format, args...)}) }

// newDeployment starts a store without objects.
func newDeployment(rec *record) *deployment {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fail("%v", err)
	}
	d := &deployment{rec: rec, dir: dir, store: standin.NewStore(), ports: make(map[string]bool)}
	d.gate = &watchGate{next: d.store, cut: make(chan struct{})}
	d.address = d.serve(d.gate)
	return d
}

// freePort returns host:port on which nothing listens.
func (d *deployment) freePort() string {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fail("%v", err)
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		d.mu.Lock()
		taken := d.ports[address]
		d.ports[address] = true
		d.mu.Unlock()
		if !taken {
			return address
		}
	}
}

// serve serves a handler on a free port.
func (d *deployment) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	go func() { _ = http.Serve(l, h) }() // until this process ends
	return l.Addr().String()
}

// watchGate passes calls on to the store, and can cut the watches that wait.
type watchGate struct {
	next http.Handler

	mu      sync.Mutex
	cut     chan struct{}
	waiting int
}

// ServeHTTP implements http.Handler.
func (g *watchGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has("watch") {
		g.next.ServeHTTP(w, r)
		return
	}
	g.mu.Lock()
	cut := g.cut
	g.waiting++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.waiting--
	}()
	ctx, cancel := newCutContext(r.Context(), cut)
	defer cancel()
	held := &heldWriter{header: make(http.Header)}
	g.next.ServeHTTP(held, r.WithContext(ctx))
	if !held.written {
		panic(http.ErrAbortHandler) // the channel ends without an answer
	}
	for name, values := range held.header {
		w.Header()[name] = values
	}
	w.WriteHeader(held.status)
	_, _ = w.Write(held.body) // the caller may have left
}

// cutAll cuts all watches that wait now, and returns how many there were.
func (g *watchGate) cutAll() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.cut)
	g.cut = make(chan struct{})
	return g.waiting
}

// process is a process of the project.
type process struct {
	name, zone            string
	callers, ready, peers string
	settings              string
	cmd                   *exec.Cmd
	log                   *os.File
	ended                 chan struct{}
}

// bounds are those of the users' small deployments.
const settingsText = `{
	"instance": { "name": %q, "zone": %q },
	"listen": { "callers": %q, "ready": %q, "operators": "", "peers": %q },
	"store": %q,
	"duties": { "kinds": [] },
	"usage": { },
	"bounds": {
		"graceSeconds": 8, "retryRatio": 0.2, "retryWindowSeconds": 10, "retrySlack": 52,
		"leaseMS": 3000, "drainMS": 2000, "configMS": 2000, "fencingEnforced": false,
	},
	"limits": { "memoryMB": 284, "descriptors": 4100, "cores": 0.4 },
}`

// start starts a process of the deploy file's only role.
func (d *deployment) start(name, zone string) *process {
	binary, err := filepath.Abs("target/ragwort-entry")
	if err != nil {
		fail("%v", err)
	}
	p := &process{name: name, zone: zone, callers: d.freePort(), ready: d.freePort(), peers: d.freePort(), ended: make(chan struct{})}
	p.settings = filepath.Join(d.dir, name+".json")
	text := fmt.Sprintf(settingsText, name, zone, p.callers, p.ready, p.peers, d.address)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		fail("%v", err)
	}
	if p.log, err = os.Create(filepath.Join(d.dir, name+".log")); err != nil {
		fail("%v", err)
	}
	d.launch(p, binary)
	return p
}

// startAgain starts a process that has ended once more, with its settings.
func (d *deployment) startAgain(old *process) *process {
	p := &process{name: old.name, zone: old.zone, callers: old.callers, ready: old.ready, peers: old.peers, settings: old.settings, log: old.log, ended: make(chan struct{})}
	d.launch(p, old.cmd.Path)
	return p
}

// launch starts the program of a process.
func (d *deployment) launch(p *process, binary string) {
	p.cmd = exec.Command(binary, "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		fail("%v", err)
	}
	go func() {
		_ = p.cmd.Wait() // its log shows why it ended
		close(p.ended)
	}()
	d.procs = append(d.procs, p)
	d.rec.line("start %s in zone %s, pid %d, callers %s", p.name, p.zone, p.cmd.Process.Pid, p.callers)
}

// awaitReady waits until all processes answer the readiness check with 200.
func (d *deployment) awaitReady() {
	for _, p := range d.procs {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			resp, err := http.Get("http://" + p.ready + names["ready"])
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				fail("%s isn't ready", p.name)
			}
		}
	}
	d.rec.line("all processes are ready")
}

// close ends all processes and removes the temporary folder. The processes' logs go to keep, if it is set.
func (d *deployment) close(keep string) {
	for _, p := range d.procs {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.ended
		_ = p.log.Close()
		if keep != "" {
			data, err := os.ReadFile(p.log.Name())
			if err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.dir)
}

// configure writes a configuration.
func (d *deployment) configure(text string) {
	if !json.Valid([]byte(text)) {
		fail("configuration: %s", text)
	}
	d.store.Put("config", "main", json.RawMessage(text))
}
