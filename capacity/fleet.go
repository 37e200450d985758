package capacity

import (
	"math"
	"sort"
)

// fleet is the capacity of one service in units, including the effect of the plan's own orders.
type fleet struct {
	byDatacentre map[string]float64
	total        float64
	reclaimable  float64
}

func newFleet(instances []Instance) *fleet {
	f := &fleet{byDatacentre: make(map[string]float64)}
	for i := range instances {
		f.adjust(instances[i].Offer, 1)
	}
	return f
}

// adjust adds an instance of the offer if sign is 1 and removes one if it is -1.
func (f *fleet) adjust(o Offer, sign float64) {
	f.byDatacentre[o.Datacentre] += sign * o.Units
	f.total += sign * o.Units
	if o.Reclaimable {
		f.reclaimable += sign * o.Units
	}
}

// withoutLargest returns the capacity that remains without the n largest data centres.
func (f *fleet) withoutLargest(n int) float64 {
	sizes := make([]float64, 0, len(f.byDatacentre))
	for _, units := range f.byDatacentre {
		sizes = append(sizes, units)
	}
	sort.Float64s(sizes)
	remaining := 0.0
	for i := range max(0, len(sizes)-n) {
		remaining += sizes[i]
	}
	return remaining
}

// requirement is the capacity, in units, that the fleet of a service must have.
type requirement struct {
	// peakWithHeadroom is required of the whole fleet, and peak of the fleet without its spareDatacentres largest data
	// centres.
	peakWithHeadroom float64
	peak             float64
	spareDatacentres int
	// reclaimableShare is the largest share of reclaimable capacity, 0 to 1.
	reclaimableShare float64
}

// shortfall returns the units that the fleet lacks; 0 when it meets the requirement.
func (r requirement) shortfall(f *fleet) float64 {
	return math.Max(0, math.Max(r.peakWithHeadroom-f.total, r.peak-f.withoutLargest(r.spareDatacentres)))
}

// allowsOffer reports whether the share of reclaimable capacity stays within reclaimableShare with one more instance of
// the offer. The share is taken of the required capacity if that is larger than the fleet's, so that reclaimable
// instances can be started before the on-demand ones that the requirement still lacks.
func (r requirement) allowsOffer(f *fleet, o Offer) bool {
	if !o.Reclaimable {
		return true
	}
	return f.reclaimable+o.Units <= r.reclaimableShare*math.Max(f.total+o.Units, r.targetUnits(f))
}

// targetUnits returns the total capacity at which the fleet meets the requirement, if each new unit reduces the
// shortfall by one.
func (r requirement) targetUnits(f *fleet) float64 {
	return f.total + r.shortfall(f)
}
