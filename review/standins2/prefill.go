package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["8"] = slowPrefill }

// engineConfig has one route to a service of engines, whose streams can't be resumed.
const engineConfig = `{"version":3,"routes":[
	{"name":"audit","hostname":"logs.example","pathPrefix":"/audit/","kind":"streaming","timeoutMs":5000,"service":"assistant","priority":2,"maxAttempts":1,"sticky":true}],
	"services":[{"name":"assistant","healthPath":"/healthz","maxConnections":630,"engine":{"slots":128,"kvTokens":784122,"kvHoldS":5.0,"roleSwitchS":3.0,"stride":1}}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const (
	// tokensPerMS is how many prompt tokens an engine reads in a millisecond, and slowFactor how much longer it takes when
	// it is slow.
	tokensPerMS = 112
	slowFactor  = 4
	// decoders is the number of decoding servers, of which a release replaces released, each releaseGap after the other.
	decoders   = 4
	released   = 2
	releaseGap = time.Second
	// exitDelay is how long a leaving server goes on after drainTime before it exits.
	exitDelay = 600 * time.Millisecond
	// machines is the number of processes in the zone, and burst that of requests to them at about the same time.
	machines = 8
	burst    = 16
	// releaseRounds is how many times a burst meets a release.
	releaseRounds = 8
)

// slowPrefill has a release replace decoding servers while the prompts of requests that hold places there are read. With the
// disruption, the server that reads them is slow.
func slowPrefill(d *deployment, trouble bool) (broken bool) {
	d.configure(engineConfig)
	prefiller := d.startUpstream(upstreamConfig{id: "i-9c000001", service: "assistant", zone: "a", role: "prefill", slots: 128, tokensPerMS: tokensPerMS})
	prefiller.list("ready")
	next := 0
	start := func() *upstream {
		next++
		u := d.startUpstream(upstreamConfig{id: fmt.Sprintf("i-7f%06d", next), service: "assistant", zone: "a", role: "decode", slots: 128, work: 20 * time.Millisecond, events: 12})
		u.list("ready")
		return u
	}
	var serving []*upstream
	for range decoders {
		serving = append(serving, start())
	}
	var processes []*process
	for i := range machines {
		processes = append(processes, d.start(fmt.Sprintf("edge-a-%d", i+1), "a"))
	}
	d.awaitReady()
	time.Sleep(4 * time.Second)
	c := &clients{d: d}
	send := func(p *process, own string) {
		t := newTransport()
		defer t.CloseIdleConnections()
		c.send(t, p, http.MethodPost, "logs.example", "/audit/7", "a logbook", 5000, map[string]string{
			names["model"]: "m", names["usage"]: "20020,12", names["parts"]: "5c1e07a2:13300," + own + ":6720",
		})
	}
	for i, p := range processes {
		send(p, fmt.Sprintf("aa%04x", i))
	}
	if trouble {
		prefiller.slowDown(slowFactor)
	}
	var mu sync.Mutex
	total, cut := 0, 0
	for round := range releaseRounds {
		var leavers sync.WaitGroup
		for i := range burst {
			c.wg.Go(func() { send(processes[i%len(processes)], fmt.Sprintf("%02x%04x", round, i)) })
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		for i := range released {
			serving = append(serving, start()) // the new one starts first
			leaving := serving[0]
			serving = serving[1:]
			leaving.list("draining")
			acknowledged := time.Now()
			leavers.Go(func() {
				time.Sleep(drainTime + exitDelay)
				leaving.unlist()
				leaving.exit()
				time.Sleep(50 * time.Millisecond)
				late, unanswered, last := lateArrivals(leaving, acknowledged)
				d.rec.line("%s: %d requests reached it later than %d ms after its report that it leaves, the last one after %d ms; %d of them were cut by its exit",
					leaving.id, late, drainTime.Milliseconds(), last.Milliseconds(), unanswered)
				mu.Lock()
				defer mu.Unlock()
				total, cut = total+late, cut+unanswered
			})
			if i+1 < released {
				time.Sleep(releaseGap)
			}
		}
		leavers.Wait()
		c.wg.Wait()
		time.Sleep(3500 * time.Millisecond)
	}
	failed := 0
	for _, a := range c.all() {
		if a.status != http.StatusOK || a.err != nil {
			failed++
		}
	}
	text := fmt.Sprintf("DRAIN: %d requests reached a leaving server later than %d ms after the acknowledgement; %d of these were lost when it exited; %d of %d attempts weren't served",
		total, drainTime.Milliseconds(), cut, failed, len(c.all()))
	d.rec.line("%s", text)
	fmt.Println(text)
	return total > 0
}
