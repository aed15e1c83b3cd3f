package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Doses and limits of the case big-bodies.
const (
	bodyBytes     = 4 << 20 // limits.maxBodyBytes of the configuration
	memoryMB      = 284     // of a machine, and in its settings
	usualClients  = 45      // at each entry process
	burstFactor   = 1.8     // burst x
	burstLength   = 8 * time.Second
	burstPause    = 8 * time.Second
	bursts        = 3
	thinkTime     = 100 * time.Millisecond
	failurePause  = time.Second             // of a client that got no answer
	streamPace    = 1300 * time.Millisecond // to the first event, and to the second
	memoryCheck   = 20 * time.Millisecond
	restartPause  = 500 * time.Millisecond
	endsForFault  = 3 // ends of a machine's process by itself that count as a fault
	faultMachines = 2 // machines with so many ends
)

// bigBodies checks Fault: a process that exceeds the memory of its machine is killed, and three ends of that kind on two
// machines are a fault. Clients send prompts of the largest size that the configuration allows. Disruption: 1.8 times as
// many of them for 8 s at a time.
func bigBodies(d *deployment, trouble bool) ([]string, error) {
	f := newFleet()
	for i := range 4 {
		r := &runner{id: fmt.Sprintf("i-decode-%d", i+1), service: "llm", zone: fmt.Sprintf("zone-%c", 'a'+i%2), phase: "decode", slots: 64, pace: streamPace, fleet: f, record: d.record}
		if err := d.addRunner(r); err != nil {
			return nil, err
		}
	}
	if err := d.startEntries(2); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second) // the entry processes learn of each other
	m := &memoryWatch{d: d, ends: make([]int, len(d.entries)), highest: make([]int, len(d.entries)), stop: make(chan struct{})}
	go m.run()
	u := &uploads{d: d, http: &http.Transport{MaxIdleConnsPerHost: 2 * usualClients}}
	ctx, cancel := context.WithCancel(context.Background())
	u.start(ctx, usualClients)
	for n := range bursts {
		time.Sleep(burstPause)
		if trouble {
			d.record.line("disruption: burst %d, %v times the clients for %v", n+1, burstFactor, burstLength)
			burst, end := context.WithTimeout(ctx, burstLength)
			u.start(burst, int(usualClients*(burstFactor-1)))
			defer end()
		}
		time.Sleep(burstLength)
	}
	cancel()
	u.wait.Wait()
	close(m.stop)
	return m.broken(), nil
}

// memoryWatch kills an entry process that has more memory than its machine, as the platform does, and starts it again.
type memoryWatch struct {
	d       *deployment
	stop    chan struct{}
	mu      sync.Mutex
	ends    []int // by entry process
	highest []int // MB
}

func (m *memoryWatch) run() {
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(memoryCheck):
		}
		for i, p := range m.d.entries {
			m.check(i, p)
		}
	}
}

func (m *memoryWatch) check(i int, p *entryProcess) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mb := residentMB(p.cmd.Process.Pid)
	m.highest[i] = max(m.highest[i], mb)
	if mb <= memoryMB {
		return
	}
	m.ends[i]++
	m.d.record.line("platform: %s has %d MB, its machine has %d: killed", p.name, mb, memoryMB)
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
	time.Sleep(restartPause)
	if err := p.start(); err != nil {
		m.d.record.line("platform: %s doesn't start: %v", p.name, err)
	}
}

func (m *memoryWatch) broken() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	machines := 0
	for i, n := range m.ends {
		m.d.record.line("platform: %s had %d MB at most and was killed %d times", m.d.entries[i].name, m.highest[i], n)
		if n >= endsForFault {
			machines++
		}
	}
	if machines < faultMachines {
		return nil
	}
	return []string{fmt.Sprintf("Fault: the processes of %d of %d machines ended by themselves %v times, as they had more than %d MB", machines, len(m.ends), m.ends, memoryMB)}
}

// residentMB returns the resident memory of a process in MB; 0: there is none.
func residentMB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// uploads are clients that send long prompts.
type uploads struct {
	d      *deployment
	http   *http.Transport
	serial atomic.Int64
	wait   sync.WaitGroup
}

// start starts n clients at each entry process that send until ctx ends.
func (u *uploads) start(ctx context.Context, n int) {
	for i := range n * len(u.d.entries) {
		u.wait.Add(1)
		go func() {
			defer u.wait.Done()
			time.Sleep(time.Duration(i) * 2 * streamPace / time.Duration(n*len(u.d.entries))) // they don't send all at once
			for ctx.Err() == nil {
				if u.send(u.d.entries[i%len(u.d.entries)]) {
					time.Sleep(thinkTime)
					continue
				}
				time.Sleep(failurePause)
			}
		}()
	}
}

// send sends one request and reads its answer. It reports whether there was one.
func (u *uploads) send(p *entryProcess) (answered bool) {
	const budget = 15 * time.Second
	id := fmt.Sprintf("%016x", 0xb16<<32+u.serial.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	// MultiReader hides that the body could be read again, so that net/http can't send the request twice.
	body := io.MultiReader(strings.NewReader(id), bytes.NewReader(prompt[len(id):]))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers+"/chat/2f", body)
	if err != nil {
		panic(err)
	}
	req.ContentLength, req.Host = bodyBytes, host
	req.Header.Set(names["attempt"], id)
	req.Header.Set(names["timeLeft"], fmt.Sprint(budget.Milliseconds()))
	req.Header.Set(names["model"], "m")
	u.d.record.line("client: sends %s to %s, %d bytes", id, p.name, bodyBytes)
	resp, err := u.http.RoundTrip(req)
	if err != nil {
		u.d.record.line("client: %s has no answer: %v", id, err)
		return false
	}
	data, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	u.d.record.line("client: %s is answered %d, %d bytes, error %v", id, resp.StatusCode, len(data), err)
	return err == nil
}

// prompt is the body of all requests but for its first bytes.
var prompt = bytes.Repeat([]byte("prompt "), bodyBytes/len("prompt ")+1)[:bodyBytes]
