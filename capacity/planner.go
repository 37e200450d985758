// Package capacity plans which instances to run and on which of them to load models and adapters and set roles.
//
// Plan is a pure function: it depends only on its arguments. The holder of the lease "capacity" calls it, and every
// order carries the fencing token that it passes. Plans do not flap: with constant demand, prices and fleet they become
// empty. An instance is not drained within MinLifetime (10 min) of its start, nor while the demand of the last
// PeakWindow (10 min) requires it, so that the same capacity is replaced at most once in MinLifetime, however demand and prices
// change.
//
// The package keeps no state. The caller owns a DemandWindow for each service (about 190 bytes).
package capacity

import (
	"sort"
	"time"
)

// Plan returns the orders that bring the fleet of each service in the snapshot closer to the required capacity. Each
// order carries the given fencing token.
func Plan(now time.Time, cfg Config, fence uint64, s Snapshot) []Order {
	p := &plan{now: now, cfg: cfg, fence: fence, snapshot: s, remainingLoadBudget: s.loadBudget(cfg)}
	for _, service := range s.Services {
		p.planService(service)
	}
	return p.orders
}

// plan is the state of one call of Plan.
type plan struct {
	now                 time.Time
	cfg                 Config
	fence               uint64
	snapshot            Snapshot
	orders              []Order
	remainingLoadBudget float64 // bytes that may still be loaded
}

// addOrder appends the order with the fencing token.
func (p *plan) addOrder(o Order) {
	o.Fence = p.fence
	p.orders = append(p.orders, o)
}

// planService adds the orders for one service. It replaces instances only if none has to be started, and drains
// instances only if none is started.
func (p *plan) planService(s Service) {
	p.stopDrained(s)
	active := p.activeInstances(s.Name)
	req := p.requirementOf(s)
	f := newFleet(active)
	started := p.orderStarts(s, req, f)
	if started == 0 && !s.DrainsDisabled {
		started = p.orderReplacement(s, req, f, active)
	}
	if started == 0 && !s.DrainsDisabled {
		p.orderDrains(s, req, f, active)
	}
	p.placeModelsAndRoles(s, active)
}

// requirementOf returns the capacity that the preset requires for the demand of the service.
func (p *plan) requirementOf(s Service) requirement {
	preset := p.snapshot.Preset
	return requirement{
		peakWithHeadroom: s.Peak * (1 + float64(valueOr(preset.HeadroomPercent, defaultHeadroomPercent))/100),
		peak:             s.Peak,
		spareDatacentres: valueOr(preset.SpareDatacentres, defaultSpareDatacentres),
		reclaimableShare: float64(valueOr(preset.ReclaimableShare, defaultReclaimablePercent)) / 100,
	}
}

// activeInstances returns the instances of the service that are starting or ready and not leaving, in order of ID.
func (p *plan) activeInstances(service string) []Instance {
	var list []Instance
	for _, i := range p.snapshot.Instances {
		if i.Service == service && !i.Leaving && i.State != StateDraining {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// orderStarts starts instances, cheapest first, until the requirement is met, MaxStarts is reached or no offer is
// possible. It returns the number of starts and adds them to f.
func (p *plan) orderStarts(s Service, req requirement, f *fleet) int {
	started := 0
	for started < p.cfg.MaxStarts && req.shortfall(f) > 0 {
		o, ok := p.cheapestOffer(req, f)
		if !ok {
			break
		}
		f.adjust(o, 1)
		p.addOrder(Order{Kind: OrderStart, Service: s.Name, Offer: o, Reason: "capacity is missing"})
		started++
	}
	return started
}

// cheapestOffer returns the offer with the lowest cost per unit by which it reduces the shortfall, or the one of
// offerInSmallestDatacentre if no offer reduces it.
func (p *plan) cheapestOffer(req requirement, f *fleet) (Offer, bool) {
	var best Offer
	bestCost, found := 0.0, false
	shortfall := req.shortfall(f)
	for _, o := range p.snapshot.Offers {
		if p.recentlyRefused(o) || !req.allowsOffer(f, o) {
			continue
		}
		f.adjust(o, 1)
		reduction := shortfall - req.shortfall(f)
		f.adjust(o, -1)
		if reduction <= 0 {
			continue
		}
		if cost := p.hourlyCost(o) / reduction; !found || cost < bestCost {
			best, bestCost, found = o, cost, true
		}
	}
	if !found {
		return p.offerInSmallestDatacentre(req, f)
	}
	return best, found
}

// offerInSmallestDatacentre returns the cheapest offer in the data centre with the least capacity. It is used when the
// largest data centres are of equal size, so that no single instance reduces the shortfall.
func (p *plan) offerInSmallestDatacentre(req requirement, f *fleet) (Offer, bool) {
	var best Offer
	found := false
	for _, o := range p.snapshot.Offers {
		if p.recentlyRefused(o) || !req.allowsOffer(f, o) {
			continue
		}
		size, smallest := f.byDatacentre[o.Datacentre], f.byDatacentre[best.Datacentre]
		if !found || size < smallest || size == smallest && p.unitCost(o) < p.unitCost(best) {
			best, found = o, true
		}
	}
	return best, found
}

// hourlyCost returns the price of an instance plus the expected cost of its reclaims, per hour.
func (p *plan) hourlyCost(o Offer) float64 {
	return o.PricePerHour * (1 + o.ReclaimsPerHour*p.cfg.ReclaimCost)
}

// unitCost returns the hourly cost per unit of capacity.
func (p *plan) unitCost(o Offer) float64 { return p.hourlyCost(o) / o.Units }

// recentlyRefused reports whether the cloud refused the offer less than RefusalBackoff ago.
func (p *plan) recentlyRefused(o Offer) bool {
	for _, r := range p.snapshot.Refusals {
		sameOffer := r.Zone == o.Zone && r.Class == o.Class && r.Reclaimable == o.Reclaimable
		if sameOffer && p.now.Sub(r.At) < p.cfg.RefusalBackoff {
			return true
		}
	}
	return false
}

// orderReplacement starts an instance that can replace another one at a saving of at least ReplacementSaving. A later
// plan drains the old instance. It returns the number of starts: 0 or 1.
func (p *plan) orderReplacement(s Service, req requirement, f *fleet, active []Instance) int {
	for _, i := range p.expensiveFirst(active) {
		if !p.mayDrain(i) {
			continue
		}
		f.adjust(i.Offer, -1)
		o, ok := p.replacementOffer(req, f, i.Offer)
		f.adjust(i.Offer, 1)
		if !ok {
			continue
		}
		f.adjust(o, 1)
		p.addOrder(Order{Kind: OrderStart, Service: s.Name, Offer: o, Reason: "cheaper than " + i.ID})
		return 1
	}
	return 0
}

// replacementOffer returns the cheapest offer that meets the requirement in place of the old one and saves at least
// ReplacementSaving per unit. remaining is the fleet without the old instance. It returns none if remaining meets the
// requirement, because this surplus is drained first.
func (p *plan) replacementOffer(req requirement, remaining *fleet, old Offer) (Offer, bool) {
	if req.shortfall(remaining) <= 0 {
		return Offer{}, false
	}
	var best Offer
	found := false
	maxUnitCost := p.unitCost(old) * (1 - p.cfg.ReplacementSaving)
	for _, o := range p.snapshot.Offers {
		if p.recentlyRefused(o) || !req.allowsOffer(remaining, o) || p.unitCost(o) > maxUnitCost {
			continue
		}
		remaining.adjust(o, 1)
		met := req.shortfall(remaining) <= 0
		remaining.adjust(o, -1)
		if met && (!found || p.unitCost(o) < p.unitCost(best)) {
			best, found = o, true
		}
	}
	return best, found
}

// mayDrain reports whether the instance is ready and was started at least MinLifetime ago.
func (p *plan) mayDrain(i Instance) bool {
	return i.State == StateReady && p.now.Sub(i.StartedAt) >= p.cfg.MinLifetime
}

// expensiveFirst returns a copy of the list in descending order of unit cost.
func (p *plan) expensiveFirst(list []Instance) []Instance {
	list = append([]Instance(nil), list...)
	sort.SliceStable(list, func(a, b int) bool { return p.unitCost(list[a].Offer) > p.unitCost(list[b].Offer) })
	return list
}

// orderDrains drains at most MaxDrains instances without which the requirement is still met, the most expensive first.
// It does not count instances that are still starting, because they do not serve yet.
func (p *plan) orderDrains(s Service, req requirement, f *fleet, active []Instance) {
	for _, i := range active {
		if i.State == StateStarting {
			f.adjust(i.Offer, -1)
		}
	}
	drained := 0
	for _, i := range p.expensiveFirst(active) {
		if drained == p.cfg.MaxDrains {
			return
		}
		if !p.mayDrain(i) {
			continue
		}
		f.adjust(i.Offer, -1)
		if req.shortfall(f) > 0 {
			f.adjust(i.Offer, 1)
			continue
		}
		p.addOrder(Order{Kind: OrderDrain, Service: s.Name, Instance: i.ID, Reason: "not needed"})
		drained++
	}
}

// stopDrained stops draining instances that are idle or have been draining for DrainTimeout.
func (p *plan) stopDrained(s Service) {
	for _, i := range p.snapshot.Instances {
		if i.Service != s.Name || i.State != StateDraining {
			continue
		}
		if i.Idle || p.now.Sub(i.Since) >= p.cfg.DrainTimeout {
			p.addOrder(Order{Kind: OrderStop, Service: s.Name, Instance: i.ID, Reason: "drained"})
		}
	}
}
