package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// windowStart is when the tests of windows begin.
const windowStart = boottime.Time(time.Hour)

// retryAtOnce reserves a repeat that arrives at once, and reports whether the limit allowed it.
func retryAtOnce(w *Window, now boottime.Time) bool {
	if !w.Reserve(now) {
		return false
	}
	w.Arrived(now)
	return true
}

// TestRepeatsStayWithinBound guards against windows with more repeats than allowed. It
// sends requests at random times, tries to repeat each of them three times at once, and
// checks every window that ends with a repeat.
func TestRepeatsStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := WindowConfig{Ratio: 0.2, Slack: 2, Window: 10 * time.Second}
		w := NewWindow(cfg, windowStart.Add(-cfg.Window))
		var requests, repeats []boottime.Time
		now := windowStart
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond)
			w.Request(now)
			requests = append(requests, now)
			for range 3 {
				if retryAtOnce(w, now) {
					repeats = append(repeats, now)
				}
			}
		}
		for _, end := range repeats {
			from := end.Add(-cfg.Window)
			r, n := countAfter(requests, from, end), countAfter(repeats, from, end)
			if float64(n) > cfg.Ratio*float64(r)+cfg.Slack {
				t.Fatalf("%d repeats of %d requests in the window that ends at %v", n, r, end.Sub(windowStart))
			}
		}
	})
}

// countAfter returns the number of times after from and up to to.
func countAfter(times []boottime.Time, from, to boottime.Time) int {
	n := 0
	for _, at := range times {
		if from.Before(at) && !to.Before(at) {
			n++
		}
	}
	return n
}

func TestWindowExpires(t *testing.T) {
	w := NewWindow(WindowConfig{Ratio: 0, Slack: 1, Window: 10 * time.Second}, windowStart)
	if !retryAtOnce(w, windowStart) || retryAtOnce(w, windowStart) {
		t.Fatal("a slack of one doesn't allow exactly one repeat")
	}
	if !retryAtOnce(w, windowStart.Add(11*time.Second)) {
		t.Error("a repeat counts beyond the window")
	}
}

// TestRestartedProcessKeepsToLimit guards against a process that uses the limit anew after its start. A process restarts
// while requests fail, after a time in which none did. Each window is checked against the ratios of the process that ran
// and of the one that runs.
func TestRestartedProcessKeepsToLimit(t *testing.T) {
	const gap = 100 * time.Millisecond // of requests; a steady rate, as the limit counts requests of other windows, too
	rapid.Check(t, func(t *rapid.T) {
		cfg := WindowConfig{Ratio: 0.17, StartRatio: 0.03, Window: 10 * time.Second}
		steps := func(name string, seconds int) int {
			return rapid.IntRange(0, seconds*int(time.Second/gap)).Draw(t, name)
		}
		failing := steps("failing from", 20)
		restarting := failing + steps("restart after", 5)
		w := NewWindow(cfg, windowStart.Add(-cfg.Window))
		var repeats []boottime.Time
		for step := range restarting + steps("steps after", 30) {
			now := windowStart.Add(time.Duration(step) * gap)
			if step == restarting {
				w = NewWindow(cfg, now)
			}
			w.Request(now)
			for step >= failing && retryAtOnce(w, now) {
				repeats = append(repeats, now)
			}
		}
		requests := float64(cfg.Window / gap)
		for _, end := range repeats {
			if n := countAfter(repeats, end.Add(-cfg.Window), end); float64(n) > (cfg.Ratio+cfg.StartRatio)*requests {
				t.Fatalf("%d repeats of %v requests in the window that ends at %v", n, requests, end.Sub(windowStart))
			}
		}
	})
}

// TestRepeatsThatWaitStayWithinLimit guards against repeats that are allowed over a long time, wait, and arrive together.
// Each window is checked by when the repeats arrived.
func TestRepeatsThatWaitStayWithinLimit(t *testing.T) {
	const gap = 100 * time.Millisecond // of requests
	rapid.Check(t, func(t *rapid.T) {
		cfg := WindowConfig{Ratio: 0.2, Window: 10 * time.Second}
		w := NewWindow(cfg, windowStart.Add(-cfg.Window))
		var arrived []boottime.Time
		now := windowStart
		for range 20 {
			waiting := 0
			for range rapid.IntRange(0, 100).Draw(t, "requests until there are places") {
				now = now.Add(gap)
				w.Request(now)
				for w.Reserve(now) {
					waiting++
				}
			}
			sent := rapid.IntRange(0, 9).Draw(t, "sent") > 0
			for range waiting {
				if !sent {
					w.Return()
					continue
				}
				w.Arrived(now)
				arrived = append(arrived, now)
			}
		}
		requests := float64(cfg.Window / gap)
		for _, end := range arrived {
			if n := countAfter(arrived, end.Add(-cfg.Window), end); float64(n) > cfg.Ratio*requests {
				t.Fatalf("%d repeats arrived for %v requests in the window that ends at %v", n, requests, end.Sub(windowStart))
			}
		}
	})
}

// TestChangedLimitKeepsCount guards against repeats that are forgotten when the limit changes.
func TestChangedLimitKeepsCount(t *testing.T) {
	cfg := WindowConfig{Ratio: 0.1, Window: 10 * time.Second}
	for _, c := range []struct {
		name   string
		change func(*WindowConfig)
	}{
		{"same limit", func(*WindowConfig) {}},
		{"more slack", func(c *WindowConfig) { c.Slack = 0.1 }},
		{"shorter window", func(c *WindowConfig) { c.Window /= 2 }},
	} {
		w := NewWindow(cfg, windowStart.Add(-cfg.Window))
		for range 100 {
			w.Request(windowStart)
		}
		for retryAtOnce(w, windowStart) {
		}
		now := windowStart.Add(cfg.Window / 4)
		changed := cfg
		c.change(&changed)
		w.SetConfig(now, changed)
		for range 5 { // not enough for a repeat by themselves
			w.Request(now)
		}
		if w.Reserve(now) {
			t.Errorf("%s: a repeat beyond the limit is allowed", c.name)
		}
	}
}

// TestLongerWindowBeginsAnew guards against a limit that counts on what the shorter window has forgotten.
func TestLongerWindowBeginsAnew(t *testing.T) {
	cfg := WindowConfig{Ratio: 0.1, Window: 10 * time.Second}
	w := NewWindow(cfg, windowStart.Add(-cfg.Window))
	cfg.Window *= 2
	w.SetConfig(windowStart, cfg)
	for range 100 {
		w.Request(windowStart)
	}
	if w.Reserve(windowStart.Add(cfg.Window / 2)) {
		t.Error("a repeat is allowed before the longer window has passed")
	}
	for range 100 {
		w.Request(windowStart.Add(cfg.Window))
	}
	if !w.Reserve(windowStart.Add(cfg.Window)) {
		t.Error("no repeat is allowed after the longer window has passed")
	}
}
