package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["6"] = lostTakeUps }

const (
	// shortEvents make a stream of a second.
	shortEvents = 20
	// losses is how often all machines are killed.
	losses = 3
	// untilInTouch is the time from the start of a machine until it is in touch (stableWindowMs).
	untilInTouch = 3 * time.Second
	// minTakeUps is the number of streams from which on the rule counts.
	minTakeUps = 12
)

// lostTakeUps has servers of two versions serve side by side. With the disruption, all machines are killed at once, and come
// back; clients take up the streams that broke off once the machines are in touch again.
func lostTakeUps(d *deployment, trouble bool) (broken bool) {
	d.configure(resumableConfig)
	for i := range engines {
		u := d.startUpstream(upstreamConfig{id: fmt.Sprintf("i-7f00000%d", i), service: "assistant", zone: "a", role: "decode", slots: 8,
			work: eventPause, events: shortEvents, version: []string{"v1.1", "v1.2"}[i%2]})
		u.list("ready")
	}
	processes := []*process{d.start("edge-a-1", "a"), d.start("edge-a-2", "a"), d.start("edge-b-1", "b")}
	d.awaitReady()
	time.Sleep(4 * time.Second)
	c := &clients{d: d}
	streams := &takenUp{c: c, processes: processes, pause: downTime + untilInTouch + 500*time.Millisecond}
	for range losses {
		stop := make(chan struct{})
		for range 6 {
			c.steady(stop, 250*time.Millisecond, func(*http.Transport) { streams.play() })
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		if trouble {
			streams.killAll()
		}
		time.Sleep(6 * time.Second)
		close(stop)
		c.wg.Wait()
		time.Sleep(2 * time.Second)
	}
	two, wentOn, whole := streams.count()
	began, offered, taken := streams.shares()
	text := fmt.Sprintf("LOST: %d of %d streams that clients took up again went on, %d of %d new ones began; %d hold two versions; %d whole of %d",
		wentOn, taken, began, offered, two, whole, len(streams.texts))
	d.rec.line("%s", text)
	fmt.Println(text)
	return taken >= minTakeUps && float64(wentOn)/float64(taken) < 0.5*float64(began)/float64(offered)
}

// killAll kills all processes at once and starts them again after downTime.
func (t *takenUp) killAll() {
	d := t.c.d
	t.mu.Lock()
	old := append([]*process(nil), t.processes...)
	t.mu.Unlock()
	for _, p := range old {
		_ = p.cmd.Process.Kill() // it may have ended by itself, which the next line shows
	}
	for _, p := range old {
		<-p.ended
	}
	d.rec.line("all machines were killed")
	time.Sleep(downTime)
	for i, p := range old {
		again := d.startAgain(p)
		t.mu.Lock()
		t.processes[i] = again
		t.mu.Unlock()
	}
}

// shares returns how many new streams began, of those whose first attempt was answered, and how many streams were taken up.
func (t *takenUp) shares() (began, offered, taken int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.texts {
		if s.first != "" {
			began++
		}
		if s.first != "" || s.refused {
			offered++
		}
		if s.takenUp {
			taken++
		}
	}
	return began, offered, taken
}
