package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["4"] = allReplaced }

// recoveryTime is the bound recoveryS.
const recoveryTime = 12 * time.Second

const (
	// zoneMachines is the number of machines in each zone.
	zoneMachines = 2
	// attemptInterval is the time between two attempts of one client, and clientsOfZone the number of clients in a zone.
	attemptInterval = 250 * time.Millisecond
	clientsOfZone   = 3
	// measured is for how long attempts are counted before and after the loss.
	measured = 8 * time.Second
	// downTime is the time from the loss until the machines are back, or others have taken their places.
	downTime = time.Second
)

// zoneNames are those of three zones of the users' deployments.
var zoneNames = []string{"nanaimo-bay", "kamloops-shed", "prince-george"}

// allReplaced has all machines lose power at once. With the disruption, they are gone for good, and as many others come at
// other addresses; without it, the same ones come back.
func allReplaced(d *deployment, trouble bool) (broken bool) {
	d.configure(plainConfig)
	for i, zone := range zoneNames {
		u := d.startUpstream(upstreamConfig{id: fmt.Sprintf("i-3c00000%d", i), service: "maps", zone: zone, slots: 6, work: workTime})
		u.list("ready")
	}
	machines := make(map[string][]*process)
	for _, zone := range zoneNames {
		for n := range zoneMachines {
			machines[zone] = append(machines[zone], d.start(fmt.Sprintf("edge-%s-%d", zone, n+1), zone))
		}
	}
	d.awaitReady()
	time.Sleep(4 * time.Second)
	before := d.servedShare(machines)
	for _, list := range machines {
		for _, p := range list {
			_ = p.cmd.Process.Kill() // it may have ended by itself, which the next line shows
		}
	}
	for _, list := range machines {
		for _, p := range list {
			<-p.ended
		}
	}
	d.rec.line("all machines have lost power")
	time.Sleep(downTime)
	for _, zone := range zoneNames {
		for n, p := range machines[zone] {
			if trouble {
				machines[zone][n] = d.start(fmt.Sprintf("edge-%s-%d", zone, zoneMachines+n+1), zone)
				continue
			}
			machines[zone][n] = d.startAgain(p)
		}
	}
	back := time.Now()
	time.Sleep(time.Until(back.Add(recoveryTime)))
	after := d.servedShare(machines)
	ready := 0
	for _, list := range machines {
		for _, p := range list {
			if d.isReady(p) {
				ready++
			}
		}
	}
	text := fmt.Sprintf("RECOVER: %.2f of the requests served before the loss, %.2f of those sent later than %.0f s after the machines were back; %d of %d machines ready %.0f s after it",
		before, after, recoveryTime.Seconds(), ready, len(zoneNames)*zoneMachines, time.Since(back).Seconds())
	d.rec.line("%s", text)
	fmt.Println(text)
	return before >= 0.25 && after < 0.25
}

// servedShare has clients send requests to the machines of their zones for a while and returns the share that is served. As
// the platform does, it uses the machines that are ready, or all of the zone if fewer than half are.
func (d *deployment) servedShare(machines map[string][]*process) float64 {
	c, stop := &clients{d: d}, make(chan struct{})
	for zone, list := range machines {
		rotation := d.rotation(list)
		d.rec.line("zone %s: %d of %d machines are in rotation", zone, len(rotation), len(list))
		for i := range clientsOfZone {
			next := i
			c.steady(stop, attemptInterval, func(*http.Transport) {
				t := newTransport() // each attempt opens a channel
				defer t.CloseIdleConnections()
				next++
				c.send(t, rotation[next%len(rotation)], http.MethodPost, "maps.example", "/tiles/7", "a tile", 3000, nil)
			})
		}
	}
	time.Sleep(measured)
	close(stop)
	c.wg.Wait()
	served, all := 0, c.all()
	for _, a := range all {
		if a.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(1, len(all)))
}

// rotation returns the machines to which the platform forwards channels.
func (d *deployment) rotation(list []*process) []*process {
	var ready []*process
	for _, p := range list {
		if d.isReady(p) {
			ready = append(ready, p)
		}
	}
	if 2*len(ready) < len(list) {
		return list
	}
	return ready
}

// isReady reports whether a process answers the readiness check with 200.
func (d *deployment) isReady(p *process) bool {
	resp, err := http.Get("http://" + p.ready + names["ready"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
