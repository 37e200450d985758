package duty

import (
	"context"
	"log/slog"
	"time"

	"knapweedhoist/objectapi"
	"knapweedhoist/usage"
)

// usageDuty reports the usage of ended windows, one after the other.
type usageDuty struct {
	lg     *slog.Logger
	cfg    Config
	store  objectapi.Store
	cloud  Cloud
	ledger *usage.Ledger

	loaded bool
	record usageRecord
	// unsent are stored reports that the cloud may not have.
	unsent []usageReport
}

// reset forgets the record: another holder may change it.
func (d *usageDuty) reset() {
	d.loaded, d.unsent = false, nil
}

// step does the next piece of work. allow returns the holder for one order.
func (d *usageDuty) step(ctx context.Context, wall time.Time, allow func() (Holder, error)) error {
	if !d.loaded {
		return d.load(ctx, wall)
	}
	if len(d.unsent) == 0 {
		return d.storeNext(ctx, wall)
	}
	holder, err := allow()
	if err != nil {
		return err
	}
	report := d.unsent[0]
	if d.late(report.Window, wall) {
		d.unsent = d.unsent[1:]
		d.lg.Warn("usage report given up", "window", report.Window)
		return nil
	}
	if err := d.cloud.ReportUsage(ctx, holder, report.Window, report.Counts); err != nil {
		return err
	}
	d.lg.Info("usage reported", "window", report.Window, "counts", report.Counts, "fence", holder.Fence)
	d.unsent = d.unsent[1:]
	return nil
}

// load reads what former holders stored. They may have ended before they sent it, so it is sent again as it is.
func (d *usageDuty) load(ctx context.Context, wall time.Time) error {
	record, err := loadUsageRecord(ctx, d.store)
	if err != nil {
		return err
	}
	d.record, d.loaded = record, true
	for _, report := range record.Reports {
		if !d.late(report.Window, wall) {
			d.unsent = append(d.unsent, report)
		}
	}
	return nil
}

// late reports whether the window's report is no longer due.
func (d *usageDuty) late(window int64, wall time.Time) bool {
	return wall.Sub(d.ledger.WindowEnd(window)) > d.cfg.UsageDelay
}

// storeNext stores the report of the oldest window that has ended and is still due, if there is one.
func (d *usageDuty) storeNext(ctx context.Context, wall time.Time) error {
	window := max(d.record.last()+1, d.ledger.Window(wall.Add(-d.cfg.UsageDelay)))
	if wall.Sub(d.ledger.WindowEnd(window)) < settleTime {
		return nil
	}
	report := usageReport{Window: window, Counts: d.ledger.Total(window)}
	record, err := d.record.append(ctx, d.store, report)
	if err != nil {
		d.reset()
		return err
	}
	d.record = record
	d.unsent = append(d.unsent, report)
	return nil
}
