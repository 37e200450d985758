package duty

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"knapweedhoist/sizing"
)

const (
	// refusalPause is how long an order is not repeated after none were available: they are gone for ten seconds
	// and more, and every call has its price.
	refusalPause = 3 * time.Second
	// repeatInterval is when an order is repeated while endpoints are still missing: longer than they take to start.
	repeatInterval = 8 * time.Second
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

// due reports whether the size is ordered again: when it differs from the order
// in force, or when endpoints are missing although there was time for them to start.
func (p placedSize) due(now time.Time, size sizing.Size) bool {
	if p.count != size.Count {
		return p.taken || size.Count < p.count || !now.Before(p.again)
	}
	return !now.Before(p.again) && (!p.taken || size.Have < size.Count)
}

func newSizeDuty(lg *slog.Logger, cloud Cloud) *sizeDuty {
	return &sizeDuty{lg: lg, cloud: cloud, placed: make(map[sizeKey]placedSize)}
}

// reset forgets what was ordered: another holder may order something else.
func (d *sizeDuty) reset() { clear(d.placed) }

// step sends at most one order for each size that is not in force.
func (d *sizeDuty) step(ctx context.Context, now time.Time, sizes []sizing.Size, allow func() (Holder, error)) error {
	for _, size := range sizes {
		key := sizeKey{size.Service, size.DataCentre, size.Reclaimable}
		placed, ok := d.placed[key]
		if ok && !placed.due(now, size) {
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

func (d *sizeDuty) order(ctx context.Context, now time.Time, holder Holder, key sizeKey, size sizing.Size) error {
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
