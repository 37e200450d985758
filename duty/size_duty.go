package duty

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"knapweedhoist/sizing"
)

const (
	// noneAvailableRetryDelay is the wait before an order is repeated after ErrNoneAvailable: endpoints stay unavailable
	// for ten seconds and more, and every call has a cost.
	noneAvailableRetryDelay = 3 * time.Second
	// reorderInterval is the wait before an accepted order is repeated while endpoints are still missing: longer than
	// an endpoint takes to start.
	reorderInterval = 8 * time.Second
)

// sizeDuty orders endpoints where the wanted number has changed or endpoints are missing.
type sizeDuty struct {
	lg         *slog.Logger
	cloud      Cloud
	lastOrders map[sizeKey]lastOrder
}

// sizeKey identifies one kind of endpoints of a service in a data centre.
type sizeKey struct {
	service, dataCentre string
	reclaimable         bool
}

// lastOrder is the last order that the cloud accepted or refused with ErrNoneAvailable.
type lastOrder struct {
	count int
	// retryAt is the time from which the same order may be sent again.
	retryAt time.Time
	// accepted is false after ErrNoneAvailable.
	accepted bool
}

// due reports whether the size must be ordered. A count that differs from the last
// order is due at once, except that a higher one waits for retryAt after
// ErrNoneAvailable. The same count is due from retryAt, if the cloud refused it or
// endpoints are still missing.
func (o lastOrder) due(now time.Time, size sizing.Size) bool {
	if o.count != size.Count {
		return o.accepted || size.Count < o.count || !now.Before(o.retryAt)
	}
	return !now.Before(o.retryAt) && (!o.accepted || size.Current < size.Count)
}

func newSizeDuty(lg *slog.Logger, cloud Cloud) *sizeDuty {
	return &sizeDuty{lg: lg, cloud: cloud, lastOrders: make(map[sizeKey]lastOrder)}
}

// reset discards the last orders: another holder may order other numbers.
func (d *sizeDuty) reset() { clear(d.lastOrders) }

// placeOrders sends at most one order for each size that is due or has no last order. permit returns the holder for one
// order.
func (d *sizeDuty) placeOrders(ctx context.Context, now time.Time, sizes []sizing.Size, permit func() (Holder, error)) error {
	for _, size := range sizes {
		key := sizeKey{size.Service, size.DataCentre, size.Reclaimable}
		last, ok := d.lastOrders[key]
		if ok && !last.due(now, size) {
			continue
		}
		holder, err := permit()
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
		d.lastOrders[key] = lastOrder{count: size.Count, retryAt: now.Add(reorderInterval), accepted: true}
	case errors.Is(err, ErrNoneAvailable):
		d.lastOrders[key] = lastOrder{count: size.Count, retryAt: now.Add(noneAvailableRetryDelay)}
	default:
		return err
	}
	d.lg.Info("endpoints ordered", "service", size.Service, "data_centre", size.DataCentre,
		"reclaimable", size.Reclaimable, "count", size.Count, "fence", holder.Fence, "taken", err == nil)
	return nil
}
