package soak

import (
	"time"

	"knapweedhoist/control"
	"knapweedhoist/lease"
)

// order is an order of the capacity duty as an endpoint receives it.
type order struct {
	// fence is the fencing token of the sender's lease.
	fence      uint64
	start, end time.Time
	// delayAfterCheck is the time between the check of the lease and the first byte sent.
	delayAfterCheck time.Duration
}

// maxPauseWithoutOverlap is two lease margins. According to package lease, orders of two holders can overlap at an
// endpoint that ignores fencing tokens only if the pause between the check and the first byte is longer.
const maxPauseWithoutOverlap = 2 * lease.DefaultMargin

// orderBook holds the highest fencing token that an endpoint received and, if the endpoint ignores fencing tokens, its
// recent orders.
type orderBook struct {
	highestFence uint64
	recent       []order
}

// giveOrder lets a holder of the lease send an order in half of the calls, half of the time to one of the first two
// endpoints, so that orders of two holders meet there. For one in 20 orders, the holder pauses right after the check of
// the lease.
func (w *world) giveOrder(in *instance) {
	if !in.awake() || w.rng.Intn(2) != 0 {
		return
	}
	target := w.endpoints[w.rng.Intn(len(w.endpoints))]
	if w.rng.Intn(2) == 0 {
		target = w.endpoints[w.rng.Intn(2)]
	}
	permit, err := in.core.Permit(w.now, control.DutyCapacity, target.checksFence)
	if err != nil || target.ended {
		return
	}
	w.ordersGiven++
	checked := w.now
	if w.rng.Intn(20) == 0 {
		w.pause(in, w.randomDuration(0, 45*time.Second))
		w.count("pause between lease check and order")
	}
	in.do(func() { in.sendOrder(target, permit, checked) })
}

// sendOrder sends the first byte; the sender abandons an order that takes longer than the permit's timeout.
func (in *instance) sendOrder(target *endpoint, permit lease.Permit, checked time.Time) {
	w := in.w
	delayAfterCheck := w.now.Sub(checked)
	abandoned := w.now.Add(permit.Timeout)
	w.net.sendUnreliable(in.dc, target.dc, func() {
		if target.ended || !w.now.Before(abandoned) {
			return
		}
		length := w.randomDuration(0, abandoned.Sub(w.now))
		target.receiveOrder(order{fence: permit.Fence, start: w.now, end: w.now.Add(length), delayAfterCheck: delayAfterCheck})
	})
}

// receiveOrder handles a received order: an endpoint that checks fencing tokens refuses old ones.
func (e *endpoint) receiveOrder(o order) {
	if e.checksFence && o.fence < e.orders.highestFence && !e.w.plantedFaults.ignoreFence {
		e.w.count("stale order refused")
		return
	}
	if e.checksFence && o.fence < e.orders.highestFence {
		e.w.fail("fence: %s ran an order with fence %d after %d", e.id, o.fence, e.orders.highestFence)
	}
	e.orders.highestFence = max(e.orders.highestFence, o.fence)
	if e.checksFence {
		return
	}
	e.checkOverlap(o)
	e.orders.recent = append(e.orders.recent, o)
}

// checkOverlap fails when orders of two holders overlap at an endpoint that ignores fencing tokens, unless the older
// holder paused longer than maxPauseWithoutOverlap.
func (e *endpoint) checkOverlap(o order) {
	recent := e.orders.recent[:0]
	for _, other := range e.orders.recent {
		if other.end.After(o.start) {
			recent = append(recent, other)
		}
	}
	e.orders.recent = recent
	for _, other := range recent {
		if other.fence == o.fence {
			continue
		}
		older := o
		if other.fence < o.fence {
			older = other
		}
		if older.delayAfterCheck > maxPauseWithoutOverlap {
			e.w.count("documented overlap of orders")
			continue
		}
		e.w.fail("lease: orders with fences %d and %d overlap at %s", other.fence, o.fence, e.id)
	}
}
