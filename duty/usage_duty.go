package duty

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"knapweedhoist/objectapi"
	"knapweedhoist/usage"
)

// usageDuty reports the usage of ended windows, oldest first. After a return of the store from an older copy, the reports of
// windows that ended before may be lost: those that this process does not know are left out.
type usageDuty struct {
	lg     *slog.Logger
	cfg    Config
	store  objectapi.Store
	cloud  Cloud
	ledger *usage.Ledger
	// completeUntil returns the time of day up to which the counts of all connected instances have arrived.
	completeUntil func() time.Time
	// now returns the time of the decision clock.
	now func() time.Time

	// era is the highest era that any answer of store has named, 0 for none. seenAt is a time of the decision clock at which it
	// had begun: when this instance, or one that wrote the record, saw it first.
	era    objectapi.Era
	seenAt time.Time
	// known has the reports that this process has read or stored and that may still be due. They stay correct over returns of
	// the store: a window is stored once, except by those who know its report.
	known map[int64]usage.Counts

	// loaded reports whether record was read from the store.
	loaded bool
	record usageRecord
	// unsent has the stored reports that the cloud may not have received.
	unsent []usageReport
}

// reset discards the record, so that it is loaded again: another holder may change it.
func (d *usageDuty) reset() {
	d.loaded, d.unsent = false, nil
}

// observeEra must be called before each runOnce, and while the lease is not held: windows that ended before the present era was
// seen may have been reported, although the store has lost the report.
func (d *usageDuty) observeEra(era objectapi.Era) {
	if era == d.era {
		return
	}
	d.era, d.seenAt = era, d.now()
	d.reset()
}

// remember keeps a report that is stored, and drops those that are no longer due.
func (d *usageDuty) remember(report usageReport, wall time.Time) {
	if d.known == nil {
		d.known = make(map[int64]usage.Counts)
	}
	maps.DeleteFunc(d.known, func(window int64, _ usage.Counts) bool { return d.expired(window, wall) })
	d.known[report.Window] = report.Counts
}

// firstNew returns the first window that ended after the present era was seen, 0 for the era 0. It is computed at each use, since
// the time of day may have been wrong when the era was seen.
func (d *usageDuty) firstNew(clocks reading) int64 {
	if d.era == 0 {
		return 0
	}
	return d.ledger.Window(clocks.wallAt(d.seenAt))
}

// runOnce does one of three things: it loads the record, stores the next report, or sends one stored report or drops it
// if it is no longer due. permit returns the holder for one call to the cloud.
func (d *usageDuty) runOnce(ctx context.Context, clocks reading, permit func() (Holder, error)) error {
	if !d.loaded {
		return d.loadRecord(ctx, clocks.wall)
	}
	if len(d.unsent) == 0 {
		return d.storeNextReport(ctx, clocks)
	}
	holder, err := permit()
	if err != nil {
		return err
	}
	report := d.unsent[0]
	if d.expired(report.Window, clocks.wall) {
		d.unsent = d.unsent[1:]
		d.lg.Warn("usage report is past its due time and is not sent", "window", report.Window)
		return nil
	}
	if err := d.cloud.ReportUsage(ctx, holder, report.Window, report.Counts); err != nil {
		return err
	}
	d.lg.Info("usage reported", "window", report.Window, "counts", report.Counts, "fence", holder.Fence)
	d.unsent = d.unsent[1:]
	return nil
}

// loadRecord reads the reports that former holders stored. A former holder may have stopped before it sent a report,
// so each that is still due is sent again unchanged.
func (d *usageDuty) loadRecord(ctx context.Context, wall time.Time) error {
	record, err := loadUsageRecord(ctx, d.store, d.era)
	if err != nil {
		return err
	}
	d.record, d.loaded = record, true
	if record.SeenForMS > 0 {
		// The record was written before now, so that the time since then makes this later than the writer's first sight.
		if seenAt := d.now().Add(-time.Duration(record.SeenForMS) * time.Millisecond); seenAt.Before(d.seenAt) {
			d.seenAt = seenAt
		}
	}
	for _, report := range record.Reports {
		if d.expired(report.Window, wall) {
			continue
		}
		if counts, ok := d.known[report.Window]; ok {
			report.Counts = counts
		}
		d.remember(report, wall)
		d.unsent = append(d.unsent, report)
	}
	return nil
}

// expired reports whether UsageDueWithin has passed since the end of the window, so that its report is no longer due.
func (d *usageDuty) expired(window int64, wall time.Time) bool {
	return wall.Sub(d.ledger.WindowEnd(window)) > d.cfg.UsageDueWithin
}

// storeNextReport stores the report of the oldest unreported window whose counts have arrived and whose report is still
// due, if there is one.
func (d *usageDuty) storeNextReport(ctx context.Context, clocks reading) error {
	wall := clocks.wall
	window := max(d.record.lastWindow()+1, d.ledger.Window(wall.Add(-d.cfg.UsageDueWithin)))
	due, firstNew := window, d.firstNew(clocks)
	counts, known := d.known[window]
	for ; window < firstNew && !known; counts, known = d.known[window] {
		window++
	}
	if !known {
		if !d.collected(window, wall) {
			return nil
		}
		counts = d.ledger.Total(window)
	}
	report := usageReport{Window: window, Counts: counts}
	record, err := d.record.appendReport(ctx, d.store, report, d.era, clocks.now.Sub(d.seenAt))
	if err != nil {
		d.reset()
		return err
	}
	if last := d.record.lastWindow(); last != 0 {
		due = last + 1
	}
	if window > due && d.era != 0 {
		d.lg.Warn("windows are not reported", "from", due, "count", window-due, "era", d.era, "first_new", firstNew)
	}
	d.record = record
	d.remember(report, wall)
	d.unsent = append(d.unsent, report)
	return nil
}

// collected reports whether the counts of a window are complete, or the report can wait no longer.
func (d *usageDuty) collected(window int64, wall time.Time) bool {
	end := d.ledger.WindowEnd(window)
	if wall.Sub(end) > time.Duration(maxCollectionShare*float64(d.cfg.UsageDueWithin)) {
		return true
	}
	complete := d.completeUntil()
	return wall.Sub(end) >= collectionMargin && complete.Sub(end) >= collectionMargin
}
