package usage

import (
	"maps"
	"slices"
	"time"
)

// Intent holds the counts with which a window was or will be reported. Once an intent is written to
// the record, its counts never change.
type Intent struct {
	Window   int64  `json:"window"`
	Counts   Counts `json:"counts"`
	Reported bool   `json:"reported,omitempty"` // not to be reported again: the report was accepted or permanently refused, it is too late, or the record is of another era
}

// Record holds the latest intents. It is kept in the platform's store, and an intent is written to it
// before the first report of its window.
type Record struct {
	Era     uint64   `json:"era"` // era of the store when the record was written
	Intents []Intent `json:"intents"`
}

// maxIntents is the maximum number of intents in the record, enough for the windows whose report
// may still have to be repeated.
const maxIntents = 4

// Config configures a Reporter.
type Config struct {
	Windows        Windows
	MaxReportDelay time.Duration // how long after its end a window may be reported; a later report is worthless
}

const (
	// maxPartsWait is how long after the end of a window the reporter waits for instances whose counts
	// are incomplete. The wait is limited because an instance that was killed never completes them.
	maxPartsWait = 3500 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 300 * time.Millisecond
	// askInterval is the minimum time between two requests for missing counts. Instances that are asked
	// for a window for the first time are asked at once.
	askInterval = 400 * time.Millisecond
)

// Authority identifies the lease under which the reporter acts.
type Authority struct {
	Fence uint64 // fencing token; differs for each lease
	Era   uint64 // era of the platform's store
}

// Action is something that the caller has to do. ReadRecord, WriteRecord and Report are calls:
// the caller answers each with exactly one event (Read or ReadFailed, RecordWritten or WriteFailed,
// Reported or ReportFailed), and there is only one call at a time.
type Action interface{ usageAction() }

// ReadRecord is the action of reading the record from the store.
type ReadRecord struct{}

// WriteRecord is the action of writing the record on condition that its version is still Base. With
// Base 0 the record must not exist yet.
type WriteRecord struct {
	Base   uint64
	Record Record
}

// Report is the action of reporting a window.
type Report struct {
	Intent
	Authority Authority
}

// Incomplete lists the addresses of instances whose counts of a window are incomplete.
type Incomplete struct {
	Live  []string // those that sent a message recently, so they are expected to send the counts
	Known []string // all, including those in Live and those that may be gone or never sent a message
}

// RequestCounts is the action of asking instances for their counts of a window. No event answers it.
type RequestCounts struct {
	Window  int64
	Missing []string
}

// WindowMissed tells the caller that a window will not be reported any more. No event answers it.
type WindowMissed struct {
	Window int64
	Reason string // for the log
}

func (ReadRecord) usageAction()    {}
func (WriteRecord) usageAction()   {}
func (Report) usageAction()        {}
func (RequestCounts) usageAction() {}
func (WindowMissed) usageAction()  {}

// Reporter decides what the lease holder does to report usage. It is not safe for concurrent use.
type Reporter struct {
	cfg            Config
	authority      Authority
	recordLoaded   bool             // the record was read under this authority and no write has failed since
	version        uint64           // of the record; 0: there is none
	intents        map[int64]Intent // by window; from the record, updated by what was reported since
	firstUndecided int64            // windows before this one get no new intent
	callPending    bool
	pending        *Intent   // being written to the record; nil: none
	retryAt        time.Time // no call before this time
	askedAt        time.Time // last request for missing counts
	lastAsked      int64     // last window for which all known instances were asked
}

// NewReporter returns a Reporter that starts by reading the record.
func NewReporter(cfg Config) *Reporter {
	return &Reporter{cfg: cfg, intents: make(map[int64]Intent)}
}

// Next returns the actions to take now under an authority; there are none while a call is pending or
// for retryDelay after one failed. sumOf must return the counts received so far for a window, and
// absentFrom the instances whose counts for it are incomplete.
func (r *Reporter) Next(now time.Time, authority Authority, sumOf func(int64) Counts, absentFrom func(int64) Incomplete) []Action {
	if r.callPending || now.Before(r.retryAt) {
		return nil
	}
	if r.authority != authority {
		r.authority, r.recordLoaded = authority, false
	}
	if !r.recordLoaded {
		r.callPending = true
		return []Action{ReadRecord{}}
	}
	for window := r.cfg.Windows.At(now.Add(-r.cfg.MaxReportDelay)) - 1; !now.Before(r.cfg.Windows.End(window).Add(CloseDelay)); window++ {
		if out := r.decideWindow(now, window, sumOf, absentFrom); len(out) > 0 {
			return out
		}
	}
	return nil
}

// decideWindow returns the actions for a window whose counts are closed: none if it is reported or
// waits for counts. A window gets an intent once, and is then reported with it until it is too late.
func (r *Reporter) decideWindow(now time.Time, window int64, sumOf func(int64) Counts, absentFrom func(int64) Incomplete) []Action {
	end := r.cfg.Windows.End(window)
	tooLate := !now.Before(end.Add(r.cfg.MaxReportDelay))
	intent, decided := r.intents[window]
	switch {
	case decided && intent.Reported:
		return nil
	case decided && tooLate:
		r.Reported(window) // so that it is not reported again
		return []Action{WindowMissed{Window: window, Reason: "report not confirmed in time"}}
	case decided:
		r.callPending = true
		return []Action{Report{Intent: intent, Authority: r.authority}}
	case window < r.firstUndecided:
		return nil
	case tooLate:
		r.firstUndecided = window + 1
		return []Action{WindowMissed{Window: window, Reason: "counts not recorded in time"}}
	}
	if now.Before(end.Add(maxPartsWait)) {
		if ask, wait := r.ask(now, window, absentFrom(window)); wait {
			return ask
		}
	}
	r.pending = &Intent{Window: window, Counts: sumOf(window)}
	r.callPending = true
	return []Action{WriteRecord{Base: r.version, Record: r.recordWith(*r.pending)}}
}

// ask returns a request for the missing counts of a window, if one is due, and whether to wait for
// counts before reporting the window. All known instances are asked once per window, since those
// that are not live may have sent their counts only to instances that are gone; the wait for their
// answers is askInterval. Live instances are asked again after each askInterval.
func (r *Reporter) ask(now time.Time, window int64, absent Incomplete) (actions []Action, wait bool) {
	due := now.Sub(r.askedAt) >= askInterval
	switch {
	case r.lastAsked < window && len(absent.Known) > 0:
		r.lastAsked, r.askedAt = window, now
		return []Action{RequestCounts{Window: window, Missing: absent.Known}}, true
	case len(absent.Live) > 0 && due:
		r.askedAt = now
		return []Action{RequestCounts{Window: window, Missing: absent.Live}}, true
	}
	return nil, len(absent.Live) > 0 || (len(absent.Known) > 0 && !due)
}

// recordWith returns the record with one more intent, limited to the latest maxIntents.
func (r *Reporter) recordWith(intent Intent) Record {
	record := Record{Era: r.authority.Era, Intents: []Intent{intent}}
	for _, window := range slices.Sorted(maps.Keys(r.intents)) {
		record.Intents = append(record.Intents, r.intents[window])
	}
	slices.SortFunc(record.Intents, func(a, b Intent) int { return int(a.Window - b.Window) })
	if excess := len(record.Intents) - maxIntents; excess > 0 {
		record.Intents = record.Intents[excess:]
	}
	return record
}

// Read handles the record that was read; version 0 means that there is none. An intent in a record of
// the current era replaces one in memory for the same window that isn't marked Reported.
//
// An intent is written before its first report. A window without an intent was therefore never
// reported, unless the store was restored from an older copy, which begins a new era, and lost the
// intent. For this reason the windows that ended before a record of another era, or no record, is
// read are skipped. The intents of such a record are not reported either, because the record may come
// from a delayed write that replaced a newer one.
func (r *Reporter) Read(now time.Time, version uint64, record Record) {
	r.callPending, r.recordLoaded, r.version, r.pending = false, true, version, nil
	otherEra := version == 0 || record.Era != r.authority.Era
	if otherEra {
		r.firstUndecided = max(r.firstUndecided, r.cfg.Windows.At(now))
	}
	for _, intent := range record.Intents {
		if _, ok := r.intents[intent.Window]; ok && (otherEra || r.intents[intent.Window].Reported) {
			continue
		}
		intent.Reported = intent.Reported || otherEra
		r.intents[intent.Window] = intent
		r.firstUndecided = max(r.firstUndecided, intent.Window+1)
	}
	oldest := r.cfg.Windows.At(now) - RetainedWindows
	maps.DeleteFunc(r.intents, func(window int64, _ Intent) bool { return window < oldest })
}

// ReadFailed records that the record could not be read.
func (r *Reporter) ReadFailed(now time.Time) { r.callFailed(now) }

// RecordWritten records that the record was written and has the given version. Its new intent is reported
// next.
func (r *Reporter) RecordWritten(version uint64) {
	r.callPending, r.version = false, version
	if r.pending != nil {
		r.intents[r.pending.Window] = *r.pending
		r.firstUndecided = max(r.firstUndecided, r.pending.Window+1)
		r.pending = nil
	}
}

// WriteFailed records that the record was not written or that the outcome is unknown. The record is
// then read again. If it holds an intent for the window, the window is reported with its counts.
func (r *Reporter) WriteFailed(now time.Time) {
	r.pending, r.recordLoaded = nil, false
	r.callFailed(now)
}

// Reported records that the report of a window was accepted or permanently refused.
func (r *Reporter) Reported(window int64) {
	r.callPending = false
	if intent, ok := r.intents[window]; ok {
		intent.Reported = true
		r.intents[window] = intent
	}
}

// ReportFailed records that the report of a window failed or that its outcome is unknown, so that it
// has to be repeated.
func (r *Reporter) ReportFailed(now time.Time) { r.callFailed(now) }

// callFailed ends the pending call and delays the next one.
func (r *Reporter) callFailed(now time.Time) {
	r.callPending = false
	r.retryAt = now.Add(retryDelay)
}
