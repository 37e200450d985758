package sizing

import (
	"math"
	"slices"
	"sort"
	"time"

	"knapweedhoist/deployment"
)

// Planner sizes services. One goroutine uses it.
type Planner struct {
	cfg      Config
	services map[string]*demand
}

// demand is what the planner remembers of a service.
type demand struct {
	reclaimable, onDemand held
	// reclaimed is when an endpoint was last seen that is being taken away.
	reclaimed time.Time
	// first is the number of endpoints that the service started with. It is known when all of them have registered:
	// when seen, their number so far, has not changed since seenAt for a while.
	first, seen int
	known       bool
	seenAt      time.Time
	// served is set by the first demand: before it, endpoints are not given up.
	served bool
}

// held is a number that grows at once and shrinks only when the smaller number sufficed for a while.
type held struct {
	count int
	// below is since when a smaller number suffices, and largest the largest wanted since then.
	below   time.Time
	largest int
}

// NewPlanner returns a Planner without history.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults(), services: make(map[string]*demand)}
}

// Plan returns the sizes of all services whose number of endpoints is the
// system's to choose. rate returns the prompt tokens a second that the endpoints
// of a service have to read.
func (p *Planner) Plan(now time.Time, view *deployment.View, rate func(service string) float64) []Size {
	if view.Config == nil || !view.Listed {
		return nil
	}
	names := make([]string, 0, len(view.Config.Services))
	for name := range view.Config.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	var sizes []Size
	for _, name := range names {
		if service := view.Config.Services[name]; service.Scaling != nil {
			sizes = append(sizes, p.planService(now, view, service, rate(name))...)
		}
	}
	return sizes
}

func (p *Planner) planService(now time.Time, view *deployment.View, service *deployment.Service, rate float64) []Size {
	d := p.demand(service.Name)
	have := count(view, service.Name)
	d.served = d.served || rate > 0
	if !d.served && !d.registered(now, have) {
		return nil
	}
	if have.leaving > 0 {
		d.reclaimed = now
	}
	centres := dataCentres(service.Scaling)
	wanted := p.wanted(d, rate)
	reclaimable := 0
	if service.Scaling.ReclaimablePrice > 0 {
		reclaimable = d.reclaimable.want(now, max(wanted.usual, len(centres)), p.cfg.ShrinkAfter)
	} else {
		wanted.reduced = wanted.usual // nothing but engines on demand carries the load
	}
	missing := wanted.reduced - p.counted(now, d, min(have.total(true), reclaimable))
	if p.wave(now, d) || !d.served {
		d.onDemand.keep()
	}
	onDemand := d.onDemand.want(now, max(wanted.least, missing), p.cfg.ShrinkAfter)
	return spread(service, centres, reclaimable, onDemand, have)
}

func (p *Planner) demand(service string) *demand {
	d := p.services[service]
	if d == nil {
		d = &demand{}
		p.services[service] = d
	}
	return d
}

// numbers are the engines that a rate needs: usually, at least where reclaimable ones are missing, and on demand always.
type numbers struct {
	usual, reduced, least int
}

// wanted returns the numbers for a rate. Before the first demand they follow from the endpoints at the start.
func (p *Planner) wanted(d *demand, rate float64) numbers {
	n := numbers{
		usual: p.engines(rate, p.cfg.UsualLoad), reduced: p.engines(rate, p.cfg.ReducedLoad), least: p.engines(rate, p.cfg.LeastLoad),
	}
	if !d.served {
		n.usual, n.reduced = d.first, d.first/2
	}
	return n
}

// wave reports whether more reclaims are expected.
func (p *Planner) wave(now time.Time, d *demand) bool {
	return !d.reclaimed.IsZero() && now.Sub(d.reclaimed) < p.cfg.WaveTime
}

// counted returns how many of the reclaimable engines that are ready the plan relies on.
func (p *Planner) counted(now time.Time, d *demand, ready int) int {
	if p.wave(now, d) {
		return int(float64(ready) * p.cfg.WaveShare)
	}
	return ready
}

// registerTime is how long the number of endpoints must be unchanged before it counts as the first one: longer than
// the period in which endpoints write their entries.
const registerTime = 1500 * time.Millisecond

// emptyTime is the same while there is none: a service that has lost all of its endpoints gets new ones.
const emptyTime = 5 * time.Second

// registered reports whether the endpoints that the service started with are known.
func (d *demand) registered(now time.Time, have counts) bool {
	if d.known {
		return true
	}
	if total := have.total(true) + have.total(false); total != d.seen || d.seenAt.IsZero() {
		d.seen, d.seenAt = total, now
	}
	wait := registerTime
	if d.seen == 0 {
		wait = emptyTime
	}
	if now.Sub(d.seenAt) >= wait {
		d.first, d.known = d.seen, true
	}
	return d.known
}

// engines is the number that reads the rate at a load.
func (p *Planner) engines(rate, load float64) int {
	return max(int(math.Ceil(rate/(p.cfg.PrefillRate*load))), 1)
}

// want returns the number to keep.
func (h *held) want(now time.Time, wanted int, shrinkAfter time.Duration) int {
	switch {
	case wanted >= h.count:
		h.count, h.below, h.largest = wanted, time.Time{}, 0
	case h.below.IsZero():
		h.below, h.largest = now, wanted
	default:
		h.largest = max(h.largest, wanted)
		if now.Sub(h.below) >= shrinkAfter {
			h.count, h.below, h.largest = h.largest, time.Time{}, 0
		}
	}
	return h.count
}

// keep starts the time anew for which a smaller number must suffice.
func (h *held) keep() { h.below, h.largest = time.Time{}, 0 }

// dataCentres returns the data centres of a service, the cheapest first.
func dataCentres(scaling *deployment.Scaling) []string {
	centres := make([]string, 0, len(scaling.Prices))
	for centre := range scaling.Prices {
		centres = append(centres, centre)
	}
	sort.Slice(centres, func(a, b int) bool {
		x, y := centres[a], centres[b]
		if scaling.Prices[x] != scaling.Prices[y] {
			return scaling.Prices[x] < scaling.Prices[y]
		}
		return x < y
	})
	return centres
}

// counts has the endpoints that are there and not leaving.
type counts struct {
	reclaimable, onDemand map[string]int
	// leaving is the number of reclaimable endpoints that are being taken away.
	leaving int
}

func count(view *deployment.View, service string) counts {
	c := counts{reclaimable: make(map[string]int), onDemand: make(map[string]int)}
	for _, endpoint := range view.Endpoints {
		switch {
		case endpoint.Service != service:
			continue
		case endpoint.Leaving && endpoint.Reclaimable && endpoint.LeavesIn > 0:
			c.leaving++
			continue
		case endpoint.Leaving:
			continue
		}
		if endpoint.Reclaimable {
			c.reclaimable[endpoint.DataCentre]++
		} else {
			c.onDemand[endpoint.DataCentre]++
		}
	}
	return c
}

func (c counts) total(reclaimable bool) int {
	sum := 0
	for _, n := range c.of(reclaimable) {
		sum += n
	}
	return sum
}

func (c counts) of(reclaimable bool) map[string]int {
	if reclaimable {
		return c.reclaimable
	}
	return c.onDemand
}

// spread divides the numbers over the data centres: evenly, the cheapest first,
// within the bounds of each. On-demand endpoints are placed first, since they
// are fewer and must not be crowded out.
func spread(service *deployment.Service, centres []string, reclaimable, onDemand int, have counts) []Size {
	least := min(service.Scaling.Min, service.Scaling.Max)
	room := make(map[string]int, len(centres))
	for _, centre := range centres {
		room[centre] = service.Scaling.Max
	}
	sizes := make([]Size, 0, 2*len(centres))
	demanded := divide(onDemand, centres, room)
	reclaimed := divide(reclaimable, centres, room)
	for _, centre := range centres {
		if short := least - demanded[centre] - reclaimed[centre]; short > 0 {
			demanded[centre] += short
		}
		if service.Scaling.ReclaimablePrice > 0 {
			sizes = append(sizes, Size{
				Service: service.Name, DataCentre: centre, Reclaimable: true,
				Count: reclaimed[centre], Have: have.reclaimable[centre],
			})
		}
		sizes = append(sizes, Size{
			Service: service.Name, DataCentre: centre, Count: demanded[centre], Have: have.onDemand[centre],
		})
	}
	return sizes
}

// divide gives out n one by one, and takes what it gives out of room.
func divide(n int, centres []string, room map[string]int) map[string]int {
	given := make(map[string]int, len(centres))
	for n > 0 {
		before := n
		for _, centre := range centres {
			if n > 0 && room[centre] > 0 {
				given[centre]++
				room[centre]--
				n--
			}
		}
		if n == before {
			break // every data centre is full
		}
	}
	return given
}
