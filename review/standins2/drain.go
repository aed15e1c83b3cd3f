package main

import (
	"fmt"
	"net/http"
	"time"
)

// drainTime is the bound drainMs.
const drainTime = 2000 * time.Millisecond

func init() { scenarios["7"] = watchCut }

// plainConfig has one route to a plain service whose requests run once at most.
const plainConfig = `{"version":3,"routes":[
	{"name":"tiles","hostname":"maps.example","pathPrefix":"/tiles/","kind":"unsafe","timeoutMs":1500,"service":"maps","priority":2,"maxAttempts":1}],
	"services":[{"name":"maps","healthPath":"/healthz","maxConnections":96}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const (
	// workTime is how long a request runs.
	workTime = 60 * time.Millisecond
	// littleLonger is how long a leaving upstream goes on after drainTime before it exits.
	littleLonger = 150 * time.Millisecond
	// cutBefore is the time from the cut of the store's waiting watches to the removal of the entry.
	cutBefore = 1050 * time.Millisecond
	// rounds is how many upstreams leave, one after the other.
	rounds = 4
)

// watchCut has upstreams leave that never report it: their entries are removed, and they go on for drainTime and a little
// longer. With the disruption, the store cuts its waiting watches a second before.
func watchCut(d *deployment, trouble bool) (broken bool) {
	d.configure(plainConfig)
	next := 0
	start := func() *upstream {
		next++
		u := d.startUpstream(upstreamConfig{id: fmt.Sprintf("i-%08x", 0x51a20000+next), service: "maps", zone: "a", slots: 6, work: workTime})
		u.list("ready")
		return u
	}
	serving := []*upstream{start(), start(), start()}
	processes := []*process{d.start("edge-a-1", "a"), d.start("edge-b-1", "b")}
	d.awaitReady()
	c, stop := &clients{d: d}, make(chan struct{})
	for i := range 12 {
		p := processes[i%len(processes)]
		c.steady(stop, 200*time.Millisecond, func(t *http.Transport) {
			c.send(t, p, http.MethodPost, "maps.example", "/tiles/7", "a tile", 3000, nil)
		})
		time.Sleep(16 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	total, lost := 0, 0
	for range rounds {
		serving = append(serving, start()) // the new one starts first
		time.Sleep(3500 * time.Millisecond)
		if trouble {
			d.rec.line("store: %d waiting watches are cut", d.gate.cutAll())
		}
		time.Sleep(cutBefore)
		leaving := serving[0]
		serving = serving[1:]
		acknowledged := leaving.unlist()
		time.Sleep(time.Until(acknowledged.Add(drainTime + littleLonger)))
		leaving.exit()
		time.Sleep(time.Second)
		late, cut, worst := lateArrivals(leaving, acknowledged)
		d.rec.line("%s: %d requests reached it later than %d ms after its entry was removed, the last one after %d ms; %d of them were cut by its exit",
			leaving.id, late, drainTime.Milliseconds(), worst.Milliseconds(), cut)
		total, lost = total+late, lost+cut
	}
	close(stop)
	c.wg.Wait()
	failed := 0
	for _, a := range c.all() {
		if a.status != http.StatusOK {
			failed++
		}
	}
	text := fmt.Sprintf("DRAIN: %d requests reached a leaving server later than %d ms after the acknowledgement; %d of these were lost when it exited; %d of %d attempts weren't served",
		total, drainTime.Milliseconds(), lost, failed, len(c.all()))
	d.rec.line("%s", text)
	fmt.Println(text)
	return total > 0
}

// lateArrivals returns the number of requests that reached an upstream later than drainTime after the acknowledgement, how
// many of these it didn't answer, and the time of the last one.
func lateArrivals(u *upstream, acknowledged time.Time) (late, cut int, last time.Duration) {
	lastOfAll := time.Duration(0)
	defer func() {
		u.d.rec.line("server %s: the last request arrived %.3f s after the acknowledgement", u.id, lastOfAll.Seconds())
	}()
	for _, a := range u.received() {
		after := a.at.Sub(acknowledged)
		if a.ran {
			lastOfAll = max(lastOfAll, after)
		}
		if !a.ran || after <= drainTime {
			continue
		}
		late++
		last = max(last, after)
		u.d.rec.line("server %s: request %s arrived %.3f s after the acknowledgement, answered %t", u.id, a.id, after.Seconds(), a.ended)
		if !a.ended {
			cut++
		}
	}
	return late, cut, last
}
