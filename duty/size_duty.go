package duty

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

const (
	// refusalPause is how long an order is not repeated after none were available.
	refusalPause = time.Second
	// repeatInterval is when an unchanged size is ordered again, in case the cloud lost it.
	repeatInterval = 20 * time.Second
)

// sizeDuty sends the orders for endpoints whose wanted number has changed.
type sizeDuty struct {
	lg     *slog.Logger
	cloud  Cloud
	placed map[sizeKey]placedSize
}

// sizeKey identifies what is sized.
type sizeKey struct {
	service, dataCentre string
	reclaimable         bool
}

type placedSize struct {
	count int
	// again is when the same order may be sent again.
	again time.Time
	taken bool
}

func newSizeDuty(lg *slog.Logger, cloud Cloud) *sizeDuty {
	return &sizeDuty{lg: lg, cloud: cloud, placed: make(map[sizeKey]placedSize)}
}

// reset forgets what was ordered: another holder may order something else.
func (d *sizeDuty) reset() { clear(d.placed) }

// step sends at most one order for each size that is not in force.
func (d *sizeDuty) step(ctx context.Context, now time.Time, sizes []Size, allow func() (Holder, error)) error {
	for _, size := range sizes {
		key := sizeKey{size.Service, size.DataCentre, size.Reclaimable}
		placed, ok := d.placed[key]
		if ok && now.Before(placed.again) && (placed.count == size.Count || !placed.taken) {
			continue
		}
		holder, err := allow()
		if err != nil {
			return err
		}
		if err := d.order(ctx, now, holder, key, size); err != nil {
			return err
		}
	}
	return nil
}

func (d *sizeDuty) order(ctx context.Context, now time.Time, holder Holder, key sizeKey, size Size) error {
	err := d.cloud.Resize(ctx, holder, size)
	switch {
	case err == nil:
		d.placed[key] = placedSize{count: size.Count, again: now.Add(repeatInterval), taken: true}
	case errors.Is(err, ErrNoneAvailable):
		d.placed[key] = placedSize{count: size.Count, again: now.Add(refusalPause)}
	default:
		return err
	}
	d.lg.Info("endpoints ordered", "service", size.Service, "data_centre", size.DataCentre,
		"reclaimable", size.Reclaimable, "count", size.Count, "fence", holder.Fence, "taken", err == nil)
	return nil
}
