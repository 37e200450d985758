package capacity

import (
	"math"
	"sort"
)

// fleet is the capacity of one service, with the effect of the plan's own orders.
type fleet struct {
	byDatacentre map[string]float64
	total        float64
	reclaimable  float64
}

func newFleet(instances []Instance) *fleet {
	f := &fleet{byDatacentre: make(map[string]float64)}
	for i := range instances {
		f.add(instances[i].Offer, 1)
	}
	return f
}

// add adds an instance of the offer, or removes one with a sign of -1.
func (f *fleet) add(o Offer, sign float64) {
	f.byDatacentre[o.Datacentre] += sign * o.Units
	f.total += sign * o.Units
	if o.Reclaimable {
		f.reclaimable += sign * o.Units
	}
}

// afterLoss is the capacity that remains without the largest data centres.
func (f *fleet) afterLoss(spare int) float64 {
	sizes := make([]float64, 0, len(f.byDatacentre))
	for _, units := range f.byDatacentre {
		sizes = append(sizes, units)
	}
	sort.Float64s(sizes)
	left := 0.0
	for i := range max(0, len(sizes)-spare) {
		left += sizes[i]
	}
	return left
}

// need is what the fleet must satisfy.
type need struct {
	// units is the demand with headroom, peak without it.
	units float64
	peak  float64
	spare int
	// reclaimableShare is the largest share of reclaimable capacity, 0 to 1.
	reclaimableShare float64
}

// missing is the capacity that is missing; 0 when the need is met.
func (n need) missing(f *fleet) float64 {
	return math.Max(0, math.Max(n.units-f.total, n.peak-f.afterLoss(n.spare)))
}

// allows reports whether the share of reclaimable capacity stays in bounds with one more of the offer. The share is
// taken of the capacity that is needed, so that spare reclaimable instances do not call for on-demand ones.
func (n need) allows(f *fleet, o Offer) bool {
	if !o.Reclaimable {
		return true
	}
	return f.reclaimable+o.Units <= n.reclaimableShare*math.Max(f.total+o.Units, n.target(f))
}

// target is the capacity at which the need is met if it is spread as now.
func (n need) target(f *fleet) float64 {
	return f.total + n.missing(f)
}
