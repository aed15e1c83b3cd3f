package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/ragworttrestle/ragworttrestle/internal/connection/platform"
	"github.com/ragworttrestle/ragworttrestle/internal/process/logline"
	"github.com/ragworttrestle/ragworttrestle/internal/process/peers"
	"github.com/ragworttrestle/ragworttrestle/internal/process/usage"
)

const (
	// usageRecordKind and usageRecordName identify the object that stores the record of usage: the windows
	// that may still be reported again.
	usageRecordKind = "Usage"
	usageRecordName = "windows"
	// dutyHolderTick is how often a process that may carry out duties checks whether an action is due.
	dutyHolderTick = 100 * time.Millisecond
)

// usageDuty reports usage to the platform while this process holds the lease. It is used by one goroutine.
type usageDuty struct {
	e        *Entry
	reporter *usage.Reporter
}

func newUsageDuty(e *Entry) *usageDuty {
	return &usageDuty{e: e, reporter: usage.NewReporter(usage.Config{Windows: e.usage.windows, MaxReportDelay: e.usage.late})}
}

// run carries out the actions that are due until ctx ends.
func (d *usageDuty) run(ctx context.Context) {
	for platform.Sleep(ctx, d.pause()) == nil {
		for d.step(ctx) {
		}
	}
}

// pause returns the time until the next check.
func (d *usageDuty) pause() time.Duration {
	if d.e.duties.Load() == nil {
		return standbyTick
	}
	return dutyHolderTick
}

// step carries out the actions that are due now. It returns false if there are none.
func (d *usageDuty) step(ctx context.Context) bool {
	g := d.e.duties.Load()
	if !g.valid(d.e.platformEra()) {
		return false
	}
	if d.e.peers == nil {
		d.mergeOwn()
	}
	actions := d.reporter.Next(wallClock(), g.authority, d.e.usage.sum, d.e.missingUsage)
	for _, a := range actions {
		switch a := a.(type) {
		case usage.ReadRecord:
			d.read(ctx)
		case usage.WriteRecord:
			d.write(ctx, a)
		case usage.Report:
			d.report(ctx, a)
		case usage.RequestCounts:
			d.requestMissing(a)
		case usage.WindowMissed:
			d.e.metrics.countDutyCall(metricDutyUsage, "missed")
			logline.Info("usage missed", "window", a.Window, "why", a.Reason)
		}
	}
	return len(actions) > 0
}

// mergeOwn merges what this instance counted. It is used if this instance exchanges no messages with others;
// otherwise sendAllUsage does that.
func (d *usageDuty) mergeOwn() {
	tracker, now := d.e.usage, wallClock()
	for window := tracker.windows.At(now) - usage.RetainedWindows; window <= tracker.windows.At(now); window++ {
		tracker.merge(usage.Source{}, tracker.parts(window))
	}
}

// read reads the record of usage from the platform's store and passes it to the reporter.
func (d *usageDuty) read(ctx context.Context) {
	o, err := d.e.cfg.Records.Get(ctx, usageRecordKind, usageRecordName)
	if errors.Is(err, platform.ErrNotFound) {
		d.reporter.Read(wallClock(), 0, usage.Record{})
		return
	}
	var record usage.Record
	if err == nil {
		err = json.Unmarshal(o.Spec, &record)
	}
	if err != nil && o.Version != 0 {
		// A record that this process can't decode is from another writer. It doesn't show what was reported.
		logline.Info("entry unreadable", "kind", usageRecordKind, "name", usageRecordName, "why", err)
		d.reporter.Read(wallClock(), o.Version, usage.Record{Era: unknownEra})
		return
	}
	if err != nil {
		logline.Info("record of usage not read", "error", err)
		d.reporter.ReadFailed(wallClock())
		return
	}
	d.reporter.Read(wallClock(), o.Version, record)
}

// unknownEra is the era of a record that can't be decoded.
const unknownEra = ^uint64(0)

// write writes the record of usage to the platform's store and passes the outcome to the reporter. A write
// that took effect in another era than that of the record counts as failed.
func (d *usageDuty) write(ctx context.Context, a usage.WriteRecord) {
	spec, err := json.Marshal(a.Record)
	if err != nil {
		logline.Error(err, "record of usage not encoded")
		d.reporter.WriteFailed(wallClock())
		return
	}
	o := platform.Object{Kind: usageRecordKind, Name: usageRecordName, Version: a.Base, Writer: d.e.cfg.Settings.Instance.Name, Nonce: platform.NewNonce(), Spec: spec}
	write := d.e.cfg.Records.Update
	if a.Base == 0 {
		write = d.e.cfg.Records.Create
	}
	stored, err := write(ctx, o)
	if err == nil && platform.EraOf(stored.Version) != a.Record.Era {
		err = errors.New("the platform was restored from an older copy meanwhile")
	}
	if err != nil {
		logline.Info("record of usage not written", "error", err, "then", "the record is read again")
		d.reporter.WriteFailed(wallClock())
		return
	}
	d.reporter.RecordWritten(stored.Version)
}

// report reports the usage of a window, if the authority under which that was decided is still valid: the
// process may have been paused since.
func (d *usageDuty) report(ctx context.Context, a usage.Report) {
	g := d.e.duties.Load()
	if !g.valid(d.e.platformEra()) || g.authority != a.Authority {
		d.reporter.ReportFailed(wallClock())
		return
	}
	result, err := d.e.cfg.Duties.ReportUsage(ctx, d.e.cfg.Settings.Instance.Name, a.Authority.Fence, a.Window, a.Counts)
	requests := 0
	for _, n := range a.Counts {
		requests += n
	}
	d.e.metrics.countDutyCall(metricDutyUsage, string(result))
	logline.Info("usage reported", "window", a.Window, "accounts", len(a.Counts), "requests", requests,
		"told_by", d.e.usage.sources(a.Window), "missing", len(d.e.missingUsage(a.Window).Known),
		"fence", a.Authority.Fence, "result", result, "error", err)
	if result == DutyRetry {
		d.reporter.ReportFailed(wallClock())
		return
	}
	d.reporter.Reported(a.Window)
}

// requestMissing asks instances for their usage of a window.
func (d *usageDuty) requestMissing(a usage.RequestCounts) {
	if d.e.peers != nil {
		d.e.peers.send(peers.Message{UsageWanted: []int64{a.Window}}, a.Missing...)
	}
}
