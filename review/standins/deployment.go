package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ragworttrestle/ragworttrestle/platform/standin"
)

// The wire's names, the configuration and the settings of an entry process lie beside this file.
var (
	//go:embed names.json
	namesText []byte
	//go:embed config.json
	configText []byte
	//go:embed settings.json
	settingsText string
)

// names holds names of the wire, by short words.
var names = func() map[string]string {
	out := make(map[string]string)
	if err := json.Unmarshal(namesText, &out); err != nil {
		panic(err)
	}
	return out
}()

const (
	host         = "review.example"
	entryBinary  = "target/ragwort-entry" // the role of the deploy file; it starts in the root of the repository
	startTimeout = 20 * time.Second
	heartbeat    = 400 * time.Millisecond
)

// record writes what was sent, answered and run to the file record.txt. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

// line writes one line with the time since the start in seconds.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// entryProcess is one process of the project's own program.
type entryProcess struct {
	name, callers, ready string
	settings             string
	cmd                  *exec.Cmd
	log                  *os.File
}

// deployment is the store, the runners and the entry processes of a script.
type deployment struct {
	record   *record
	dir      string
	store    *standin.Store
	address  string // of the store
	entries  []*entryProcess
	runners  []*runner
	stopBeat chan struct{}
}

// freePort returns a port that is free at a loopback IP.
func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newDeployment starts the store with the configuration.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir, store: standin.NewStore(), stopBeat: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	d.store.Put("config", "main", json.RawMessage(configText))
	go d.beat()
	return d, nil
}

// beat writes the entries of the runners that have changed.
func (d *deployment) beat() {
	last := make(map[string]string)
	for {
		select {
		case <-d.stopBeat:
			return
		case <-time.After(heartbeat):
		}
		for _, r := range d.runners {
			if e := r.entry(); last[r.id] != fmt.Sprint(e) {
				last[r.id] = fmt.Sprint(e)
				d.store.Put("servers", r.id, e)
			}
		}
	}
}

// addRunner starts a runner and lists it.
func (d *deployment) addRunner(r *runner) error {
	if err := r.listen(); err != nil {
		return err
	}
	d.runners = append(d.runners, r)
	d.store.Put("servers", r.id, r.entry())
	return nil
}

// startEntries starts n entry processes, each at a loopback IP of its own, and waits until all are ready.
func (d *deployment) startEntries(n int) error {
	for i := range n {
		ip := fmt.Sprintf("127.0.10.%d", i+1)
		p := &entryProcess{name: fmt.Sprintf("edge-%d", i+1), callers: freePort(ip), ready: freePort(ip)}
		p.settings = filepath.Join(d.dir, p.name+".json")
		text := strings.NewReplacer("NAME", p.name, "ZONE", fmt.Sprintf("zone-%c", 'a'+i%3), "CALLERS", p.callers, "READY", p.ready,
			"OPERATORS", freePort(ip), "PEERS", freePort(ip), "STORE", d.address).Replace(settingsText)
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			return err
		}
		var err error
		if p.log, err = os.Create(filepath.Join(d.dir, p.name+".log")); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
		d.entries = append(d.entries, p)
	}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range d.entries {
			if p.isReady() {
				ready++
			}
		}
		if ready == n {
			return nil
		}
	}
	return fmt.Errorf("the entry processes aren't ready after %v", startTimeout)
}

// start starts the process with the command of the deploy file.
func (p *entryProcess) start() error {
	p.cmd = exec.Command(entryBinary, "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	return p.cmd.Start()
}

func (p *entryProcess) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.ready + names["readyPath"])
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that were started. With keepLogs set, the logs are copied there.
func (d *deployment) close(keepLogs string) {
	for _, p := range d.entries {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.log.Close()
		if keepLogs != "" {
			if text, err := os.ReadFile(p.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(keepLogs, p.name+".log"), text, 0o600)
			}
		}
	}
	close(d.stopBeat)
	_ = os.RemoveAll(d.dir)
}
