package usage

import (
	"maps"
	"slices"
	"time"
)

// Intent is a window that is about to be reported, or was: its counts never change.
type Intent struct {
	Window   int64  `json:"window"`
	Counts   Counts `json:"counts"`
	Reported bool   `json:"reported,omitempty"` // known to have been taken
}

// Record is what the platform's store keeps, written before each report.
type Record struct {
	Era     uint64   `json:"era"` // of the platform's store when it was written
	Intents []Intent `json:"intents"`
}

// keepIntents bounds the record to windows that may still have to be repeated.
const keepIntents = 4

// Config of a reporter.
type Config struct {
	Windows Windows
	Late    time.Duration // a report that comes later after the window's end is worth nothing
}

const (
	// waitForAll is how long after the end of a window instances that have told nothing whole
	// are waited for: one that was killed never tells.
	waitForAll = 3500 * time.Millisecond
	// pauseAfterFailure is the pause after a call that failed.
	pauseAfterFailure = 300 * time.Millisecond
	// askEvery is the pause between two questions for what is missing.
	askEvery = 400 * time.Millisecond
)

// Authority is under what the reporter acts.
type Authority struct {
	Fence uint64 // a new number is a new authority
	Era   uint64 // of the platform's store
}

// Action is something to do. Calls are answered by exactly one event each, and only one is
// under way.
type Action interface{ usageAction() }

// ReadRecord asks to read the record.
type ReadRecord struct{}

// WriteRecord asks to write the record if its version is still Base (0: create it).
type WriteRecord struct {
	Base   uint64
	Record Record
}

// Report asks to report a window.
type Report struct {
	Intent
	Authority Authority
}

// Absent are the instances that have not told all of a window, by address.
type Absent struct {
	Live  []string // heard lately: they will tell
	Known []string // all, also those that may be gone or were never heard
}

// Ask asks instances to tell what they have of a window; no answer is due.
type Ask struct {
	Window  int64
	Missing []string
}

// Missed tells that a window is left unreported.
type Missed struct {
	Window int64
	Why    string
}

func (ReadRecord) usageAction()  {}
func (WriteRecord) usageAction() {}
func (Report) usageAction()      {}
func (Ask) usageAction()         {}
func (Missed) usageAction()      {}

// Reporter decides what the holder of the duty does. It is not safe for concurrent use.
type Reporter struct {
	cfg     Config
	under   Authority
	known   bool // the record was read under this authority
	version uint64
	intents map[int64]Intent // of the record, and what was reported
	from    int64            // no window before this is counted anew
	calling bool
	pending *Intent // its write is under way
	retryAt time.Time
	askedAt time.Time
	asked   int64 // last window of which all known instances were asked
}

// NewReporter makes a reporter that knows nothing.
func NewReporter(cfg Config) *Reporter {
	return &Reporter{cfg: cfg, intents: make(map[int64]Intent)}
}

// Next gives what to do now under an authority. sum and missing tell what was counted.
func (r *Reporter) Next(now time.Time, under Authority, sum func(int64) Counts, missing func(int64) Absent) []Action {
	if r.calling || now.Before(r.retryAt) {
		return nil
	}
	if r.under != under {
		r.under, r.known = under, false
	}
	if !r.known {
		r.calling = true
		return []Action{ReadRecord{}}
	}
	for window := r.cfg.Windows.At(now.Add(-r.cfg.Late)) - 1; !now.Before(r.cfg.Windows.End(window).Add(CloseAfter)); window++ {
		if out := r.window(now, window, sum, missing); len(out) > 0 {
			return out
		}
	}
	return nil
}

// window gives what to do for a window that has ended.
func (r *Reporter) window(now time.Time, window int64, sum func(int64) Counts, missing func(int64) Absent) []Action {
	end := r.cfg.Windows.End(window)
	tooLate := !now.Before(end.Add(r.cfg.Late))
	intent, decided := r.intents[window]
	switch {
	case decided && intent.Reported:
		return nil
	case decided && tooLate:
		r.Reported(window) // nothing more is done for it
		return []Action{Missed{Window: window, Why: "not known to be taken in time"}}
	case decided:
		r.calling = true
		return []Action{Report{Intent: intent, Authority: r.under}}
	case window < r.from:
		return nil
	case tooLate:
		r.from = window + 1
		return []Action{Missed{Window: window, Why: "not counted in time"}}
	}
	if now.Before(end.Add(waitForAll)) {
		if ask, wait := r.ask(now, window, missing(window)); wait {
			return ask
		}
	}
	r.pending = &Intent{Window: window, Counts: sum(window)}
	r.calling = true
	return []Action{WriteRecord{Base: r.version, Record: r.recordWith(*r.pending)}}
}

// ask gives the question for what is missing of a window, if one is due. wait: the window isn't
// reported yet. Instances that were never heard are asked once: they may tell only others, which
// are gone.
func (r *Reporter) ask(now time.Time, window int64, absent Absent) (question []Action, wait bool) {
	due := now.Sub(r.askedAt) >= askEvery
	switch {
	case r.asked < window && len(absent.Known) > 0:
		r.asked, r.askedAt = window, now
		return []Action{Ask{Window: window, Missing: absent.Known}}, true
	case len(absent.Live) > 0 && due:
		r.askedAt = now
		return []Action{Ask{Window: window, Missing: absent.Live}}, true
	}
	return nil, len(absent.Live) > 0 || (len(absent.Known) > 0 && !due)
}

// recordWith gives the record with one more intent.
func (r *Reporter) recordWith(intent Intent) Record {
	record := Record{Era: r.under.Era, Intents: []Intent{intent}}
	for _, window := range slices.Sorted(maps.Keys(r.intents)) {
		record.Intents = append(record.Intents, r.intents[window])
	}
	slices.SortFunc(record.Intents, func(a, b Intent) int { return int(a.Window - b.Window) })
	if over := len(record.Intents) - keepIntents; over > 0 {
		record.Intents = record.Intents[over:]
	}
	return record
}

// Read takes the record; version 0: there is none. What it says of a window goes before what is
// remembered here. It was written before every report, so a window without an intent
// was never reported, unless the store has lost the intent: of windows that had ended when
// the record was first read in an era, nothing is known then, and they are left alone. A record of
// an older era may also have been written by a call that came late, over a newer one: what it
// intends is not reported.
func (r *Reporter) Read(now time.Time, version uint64, record Record) {
	r.calling, r.known, r.version, r.pending = false, true, version, nil
	older := version == 0 || record.Era != r.under.Era
	if older {
		r.from = max(r.from, r.cfg.Windows.At(now))
	}
	for _, intent := range record.Intents {
		if _, ok := r.intents[intent.Window]; ok && (older || r.intents[intent.Window].Reported) {
			continue
		}
		intent.Reported = intent.Reported || older
		r.intents[intent.Window] = intent
		r.from = max(r.from, intent.Window+1)
	}
	oldest := r.cfg.Windows.At(now) - KeepWindows
	maps.DeleteFunc(r.intents, func(window int64, _ Intent) bool { return window < oldest })
}

// ReadFailed notes that the record could not be read.
func (r *Reporter) ReadFailed(now time.Time) { r.failed(now) }

// Wrote notes that the record was written: its intent may be reported.
func (r *Reporter) Wrote(version uint64) {
	r.calling, r.version = false, version
	if r.pending != nil {
		r.intents[r.pending.Window] = *r.pending
		r.from = max(r.from, r.pending.Window+1)
		r.pending = nil
	}
}

// WriteFailed notes that the record was not written, or that this isn't known: it is read again,
// and tells which intent stands.
func (r *Reporter) WriteFailed(now time.Time) {
	r.pending, r.known = nil, false
	r.failed(now)
}

// Reported notes that a window's report was taken, or refused for good.
func (r *Reporter) Reported(window int64) {
	r.calling = false
	if intent, ok := r.intents[window]; ok {
		intent.Reported = true
		r.intents[window] = intent
	}
}

// ReportFailed notes that a report has to be repeated.
func (r *Reporter) ReportFailed(now time.Time) { r.failed(now) }

func (r *Reporter) failed(now time.Time) {
	r.calling = false
	r.retryAt = now.Add(pauseAfterFailure)
}
