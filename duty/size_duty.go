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
	// checksFence reports whether the cloud refuses orders with an outdated fencing token. raiseFence asks for a higher one.
	checksFence bool
	raiseFence  func()
}

// noCount is the count of a last order whose outcome is unknown; it differs from every wanted count.
const noCount = -1

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
	// unansweredFence is the fencing token of the last order without an answer. The cloud may carry that order out later.
	unansweredFence uint64
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

func newSizeDuty(lg *slog.Logger, cloud Cloud, checksFence bool, raiseFence func()) *sizeDuty {
	return &sizeDuty{
		lg: lg, cloud: cloud, lastOrders: make(map[sizeKey]lastOrder), checksFence: checksFence, raiseFence: raiseFence,
	}
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
		if d.checksFence && last.unansweredFence >= holder.Fence {
			continue // until the fencing token is higher, the cloud would carry out the unanswered order after this one
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
		last := d.lastOrders[key]
		last.unansweredFence, last.retryAt = holder.Fence, now
		last.count = noCount
		d.lastOrders[key] = last
		d.raiseFence()
		return err
	}
	d.lg.Info("endpoints ordered", "service", size.Service, "data_centre", size.DataCentre,
		"reclaimable", size.Reclaimable, "count", size.Count, "ready", size.Current, "prefill_per_s", int(size.Demand.Prefill),
		"prefill_rate", int(size.Demand.PrefillRate), "in_flight", int(size.Demand.InFlight), "fence", holder.Fence, "taken", err == nil)
	return nil
}
