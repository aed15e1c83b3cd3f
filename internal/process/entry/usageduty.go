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
	kindUsage = "Usage"
	nameUsage = "windows" // one object holds the windows that may still be repeated
	// dutyTick is how often it is looked whether a duty is to be done.
	dutyTick = 100 * time.Millisecond
)

// usageDuty reports usage while this process holds the authority. It is for one goroutine.
type usageDuty struct {
	e    *Entry
	core *usage.Reporter
}

func newUsageDuty(e *Entry) *usageDuty {
	return &usageDuty{e: e, core: usage.NewReporter(usage.Config{Windows: e.usage.windows, Late: e.usage.late})}
}

func (d *usageDuty) run(ctx context.Context) {
	for platform.Sleep(ctx, d.pause()) == nil {
		for d.step(ctx) {
		}
	}
}

// pause is the time until it is looked again whether something is to be done.
func (d *usageDuty) pause() time.Duration {
	if d.e.duties.Load() == nil {
		return restingHolderTick
	}
	return dutyTick
}

// step does what is next; false: nothing is to be done now.
func (d *usageDuty) step(ctx context.Context) bool {
	g := d.e.duties.Load()
	if !g.holds(d.e.storeEra()) {
		return false
	}
	if d.e.shared == nil {
		d.takeOwn()
	}
	actions := d.core.Next(wall(), g.under, d.e.usage.sum, d.e.usageAbsent)
	for _, a := range actions {
		switch a := a.(type) {
		case usage.ReadRecord:
			d.read(ctx)
		case usage.WriteRecord:
			d.write(ctx, a)
		case usage.Report:
			d.report(ctx, a)
		case usage.Ask:
			d.ask(a)
		case usage.Missed:
			d.e.meters.duty(meterUsage, "missed")
			logline.Info("usage missed", "window", a.Window, "why", a.Why)
		}
	}
	return len(actions) > 0
}

// takeOwn adds up what this instance counted, where nobody else tells anything.
func (d *usageDuty) takeOwn() {
	book, now := d.e.usage, wall()
	for window := book.windows.At(now) - usage.KeepWindows; window <= book.windows.At(now); window++ {
		book.take(usage.Source{}, book.parts(window))
	}
}

func (d *usageDuty) read(ctx context.Context) {
	o, err := d.e.cfg.Records.Get(ctx, kindUsage, nameUsage)
	if errors.Is(err, platform.ErrNotFound) {
		d.core.Read(wall(), 0, usage.Record{})
		return
	}
	var record usage.Record
	if err == nil {
		err = json.Unmarshal(o.Spec, &record)
	}
	if err != nil && o.Version != 0 {
		// What another writer put there says nothing of what was reported.
		logline.Info("entry unreadable", "kind", kindUsage, "name", nameUsage, "why", err)
		d.core.Read(wall(), o.Version, usage.Record{Era: unknownEra})
		return
	}
	if err != nil {
		logline.Info("record of usage not read", "error", err)
		d.core.ReadFailed(wall())
		return
	}
	d.core.Read(wall(), o.Version, record)
}

// unknownEra is that of a record that can't be read.
const unknownEra = ^uint64(0)

func (d *usageDuty) write(ctx context.Context, a usage.WriteRecord) {
	spec, err := json.Marshal(a.Record)
	if err != nil {
		logline.Error(err, "record of usage not encoded")
		d.core.WriteFailed(wall())
		return
	}
	o := platform.Object{Kind: kindUsage, Name: nameUsage, Version: a.Base, Writer: d.e.cfg.Settings.Instance.Name, Nonce: platform.NewNonce(), Spec: spec}
	write := d.e.cfg.Records.Update
	if a.Base == 0 {
		write = d.e.cfg.Records.Create
	}
	stored, err := write(ctx, o)
	if err == nil && platform.EraOf(stored.Version) != a.Record.Era {
		err = errors.New("the platform returned from an older copy meanwhile")
	}
	if err != nil {
		logline.Info("record of usage not written", "error", err, "then", "it is read again")
		d.core.WriteFailed(wall())
		return
	}
	d.core.Wrote(stored.Version)
}

// report reports a window if the authority still holds: the process may have been paused since
// it was decided.
func (d *usageDuty) report(ctx context.Context, a usage.Report) {
	g := d.e.duties.Load()
	if !g.holds(d.e.storeEra()) || g.under != a.Authority {
		d.core.ReportFailed(wall())
		return
	}
	result, err := d.e.cfg.Duties.ReportUsage(ctx, d.e.cfg.Settings.Instance.Name, a.Authority.Fence, a.Window, a.Counts)
	requests := 0
	for _, n := range a.Counts {
		requests += n
	}
	d.e.meters.duty(meterUsage, string(result))
	logline.Info("usage reported", "window", a.Window, "accounts", len(a.Counts), "requests", requests,
		"told_by", d.e.usage.sources(a.Window), "missing", len(d.e.usageAbsent(a.Window).Known),
		"fence", a.Authority.Fence, "result", result, "error", err)
	if result == DutyAgain {
		d.core.ReportFailed(wall())
		return
	}
	d.core.Reported(a.Window)
}

// ask asks instances for what they have of a window.
func (d *usageDuty) ask(a usage.Ask) {
	if d.e.shared != nil {
		d.e.shared.send(peers.Message{UsageWanted: []int64{a.Window}}, a.Missing...)
	}
}
