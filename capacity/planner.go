// Package capacity plans which instances to run and where to place models,
// adapters and roles.
//
// Plan is pure: it depends only on its arguments. It runs under the lease
// "capacity", whose fence is in every order. It does not flap: with constant
// demand, prices and fleet the plans become empty; an instance is not drained
// within MinLife (10 min) of its start, nor while the demand of the last
// PeakWindow (10 min) would need it, so that each place in the fleet changes
// at most once in MinLife, however demand and prices move.
//
// State: none, beside the caller's Forecast (about 190 bytes for each service).
package capacity

import (
	"sort"
	"time"
)

// Plan returns the orders that bring the fleet closer to what the snapshot needs.
func Plan(now time.Time, cfg Config, fence uint64, s Snapshot) []Order {
	p := &plan{now: now, cfg: cfg, fence: fence, snapshot: s, loadBudget: s.loadBudget(cfg)}
	for _, service := range s.Services {
		p.service(service)
	}
	return p.orders
}

// plan is the state of one call of Plan.
type plan struct {
	now        time.Time
	cfg        Config
	fence      uint64
	snapshot   Snapshot
	orders     []Order
	loadBudget float64
}

func (p *plan) order(o Order) {
	o.Fence = p.fence
	p.orders = append(p.orders, o)
}

// service plans one service.
func (p *plan) service(s Service) {
	p.stopDrained(s)
	counted := p.counted(s.Name)
	n := p.need(s)
	f := newFleet(counted)
	started := p.start(s, n, f)
	if started == 0 && !s.HoldDrains {
		started = p.swap(s, n, f, counted)
	}
	if started == 0 && !s.HoldDrains {
		p.drain(s, n, f, counted)
	}
	p.place(s, counted)
}

func (p *plan) need(s Service) need {
	preset := p.snapshot.Preset
	return need{
		units:            s.Peak * (1 + float64(valueOr(preset.HeadroomPercent, defaultHeadroom))/100),
		peak:             s.Peak,
		spare:            valueOr(preset.SpareDatacentres, defaultSpare),
		reclaimableShare: float64(valueOr(preset.ReclaimableShare, defaultReclaimableShare)) / 100,
	}
}

// counted are the instances that serve or will serve, in order of ID.
func (p *plan) counted(service string) []Instance {
	var list []Instance
	for _, i := range p.snapshot.Instances {
		if i.Service == service && !i.Leaving && i.State != StateDraining {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// start orders instances until the need is met, cheapest first, and returns how many.
func (p *plan) start(s Service, n need, f *fleet) int {
	started := 0
	for started < p.cfg.MaxStarts && n.missing(f) > 0 {
		o, ok := p.best(n, f)
		if !ok {
			break
		}
		f.add(o, 1)
		p.order(Order{Kind: OrderStart, Service: s.Name, Offer: o, Reason: "capacity is missing"})
		started++
	}
	return started
}

// best returns the offer with the lowest cost for each missing unit that it provides.
func (p *plan) best(n need, f *fleet) (Offer, bool) {
	var best Offer
	bestCost, found := 0.0, false
	before := n.missing(f)
	for _, o := range p.snapshot.Offers {
		if p.refused(o) || !n.allows(f, o) {
			continue
		}
		f.add(o, 1)
		gain := before - n.missing(f)
		f.add(o, -1)
		if gain <= 0 {
			continue
		}
		if cost := p.cost(o) / gain; !found || cost < bestCost {
			best, bestCost, found = o, cost, true
		}
	}
	if !found {
		return p.smallest(n, f)
	}
	return best, found
}

// smallest returns the cheapest offer in the smallest data centre, for the case that the largest data centres are of
// equal size, so that no single instance helps.
func (p *plan) smallest(n need, f *fleet) (Offer, bool) {
	var best Offer
	found := false
	for _, o := range p.snapshot.Offers {
		if p.refused(o) || !n.allows(f, o) {
			continue
		}
		size, smallest := f.byDatacentre[o.Datacentre], f.byDatacentre[best.Datacentre]
		if !found || size < smallest || size == smallest && p.unitCost(o) < p.unitCost(best) {
			best, found = o, true
		}
	}
	return best, found
}

// cost is the price of an instance with what its reclaims cost.
func (p *plan) cost(o Offer) float64 {
	return o.PricePerHour * (1 + o.ReclaimsPerHour*p.cfg.ReclaimCost)
}

func (p *plan) unitCost(o Offer) float64 { return p.cost(o) / o.Units }

// refused reports whether the offer was refused recently.
func (p *plan) refused(o Offer) bool {
	for _, r := range p.snapshot.Refusals {
		same := r.Zone == o.Zone && r.Class == o.Class && r.Reclaimable == o.Reclaimable
		if same && p.now.Sub(r.At) < p.cfg.RefusalHold {
			return true
		}
	}
	return false
}

// swap starts a cheaper instance when it can replace a much more expensive one; the latter is drained by a later plan.
func (p *plan) swap(s Service, n need, f *fleet, counted []Instance) int {
	for _, i := range p.expensiveFirst(counted) {
		if !p.settled(i) {
			continue
		}
		f.add(i.Offer, -1)
		o, ok := p.replacement(n, f, i.Offer)
		f.add(i.Offer, 1)
		if !ok {
			continue
		}
		f.add(o, 1)
		p.order(Order{Kind: OrderStart, Service: s.Name, Offer: o, Reason: "cheaper than " + i.ID})
		return 1
	}
	return 0
}

// replacement returns the cheapest offer that satisfies the need in place of the old one at a sufficient saving. It
// returns none while the fleet has a surplus, because the surplus is drained first.
func (p *plan) replacement(n need, without *fleet, old Offer) (Offer, bool) {
	if n.missing(without) <= 0 {
		return Offer{}, false
	}
	var best Offer
	found := false
	limit := p.unitCost(old) * (1 - p.cfg.SwapSaving)
	for _, o := range p.snapshot.Offers {
		if p.refused(o) || !n.allows(without, o) || p.unitCost(o) > limit {
			continue
		}
		without.add(o, 1)
		met := n.missing(without) <= 0
		without.add(o, -1)
		if met && (!found || p.unitCost(o) < p.unitCost(best)) {
			best, found = o, true
		}
	}
	return best, found
}

// settled reports whether the instance may be drained.
func (p *plan) settled(i Instance) bool {
	return i.State == StateReady && p.now.Sub(i.StartedAt) >= p.cfg.MinLife
}

// expensiveFirst orders instances by the cost of a unit.
func (p *plan) expensiveFirst(list []Instance) []Instance {
	list = append([]Instance(nil), list...)
	sort.SliceStable(list, func(a, b int) bool { return p.unitCost(list[a].Offer) > p.unitCost(list[b].Offer) })
	return list
}

// drain takes instances away that the need does not require, the most expensive first. Capacity that is still starting
// does not replace capacity that serves.
func (p *plan) drain(s Service, n need, f *fleet, counted []Instance) {
	for _, i := range counted {
		if i.State == StateStarting {
			f.add(i.Offer, -1)
		}
	}
	drained := 0
	for _, i := range p.expensiveFirst(counted) {
		if drained == p.cfg.MaxDrains {
			return
		}
		if !p.settled(i) {
			continue
		}
		f.add(i.Offer, -1)
		if n.missing(f) > 0 {
			f.add(i.Offer, 1)
			continue
		}
		p.order(Order{Kind: OrderDrain, Service: s.Name, Instance: i.ID, Reason: "not needed"})
		drained++
	}
}

// stopDrained stops instances that have drained.
func (p *plan) stopDrained(s Service) {
	for _, i := range p.snapshot.Instances {
		if i.Service != s.Name || i.State != StateDraining {
			continue
		}
		if i.Idle || p.now.Sub(i.Since) >= p.cfg.DrainTimeout {
			p.order(Order{Kind: OrderStop, Service: s.Name, Instance: i.ID, Reason: "drained"})
		}
	}
}
