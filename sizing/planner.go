package sizing

import (
	"math"
	"slices"
	"sort"
	"time"

	"knapweedhoist/deployment"
)

// Planner plans the sizes of services. It is not safe for concurrent use.
type Planner struct {
	cfg      Config
	services map[string]*serviceState
}

// serviceState is the planning state of one service.
type serviceState struct {
	reclaimable, onDemand stabilisedCount
	// lastReclaim is when an endpoint under reclaim was last listed.
	lastReclaim time.Time
	// initial is the number of endpoints that the service started with, valid once initialKnown is set. registered is the
	// last number of registered endpoints and registeredSince the time of its last change. initial is set to registered
	// once registered has not changed for registrationDelay, or for emptyRegistrationDelay if it is 0.
	initial, registered int
	initialKnown        bool
	registeredSince     time.Time
	// hadDemand is set once the demand is known.
	hadDemand bool
}

// stabilisedCount is a number that grows at once and shrinks only after a smaller number has sufficed for a while.
type stabilisedCount struct {
	count int
	// smallerSince is the time since which a smaller number suffices; largestSince is the largest number wanted since
	// then.
	smallerSince time.Time
	largestSince int
}

// NewPlanner returns a Planner that has planned nothing yet.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg.withDefaults(), services: make(map[string]*serviceState)}
}

// Plan returns the sizes of all services that have a Scaling, sorted by service
// name. demand returns the demand for a service. Plan returns nil before the configuration and the endpoints were
// read, and omits a service whose demand is not known yet until the number of its
// endpoints at the start is known.
func (p *Planner) Plan(now time.Time, view *deployment.View, demand func(service string) Demand) []Size {
	if view.Config == nil || !view.EndpointsRead {
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
			sizes = append(sizes, p.planService(now, view, service, demand(name))...)
		}
	}
	return sizes
}

func (p *Planner) planService(now time.Time, view *deployment.View, service *deployment.Service, demand Demand) []Size {
	state := p.state(service.Name)
	current := countEndpoints(view, service.Name)
	state.hadDemand = state.hadDemand || demand.Settled && demand.Prefill > 0
	if !state.hadDemand && !state.updateInitial(now, current) {
		return nil
	}
	if current.underReclaim > 0 {
		state.lastReclaim = now
	}
	centres := dataCentres(service.Scaling)
	needed := p.endpointsNeeded(state, demand.busyEndpoints(slotsOf(service), p.cfg))
	reclaimable := 0
	if service.Scaling.ReclaimablePrice > 0 {
		reclaimable = state.reclaimable.update(now, max(needed.target, len(centres)), p.cfg.ScaleDownDelay)
	} else {
		needed.degraded = needed.target // on-demand endpoints carry the whole load
	}
	missing := needed.degraded - p.expectedToRemain(now, state, min(current.total(true), reclaimable))
	if p.reclaimWave(now, state) {
		state.onDemand.resetDelay()
	}
	onDemand := state.onDemand.update(now, max(needed.onDemand, missing), p.cfg.ScaleDownDelay)
	sizes := distribute(service, centres, reclaimable, onDemand, current)
	for i := range sizes {
		sizes[i].Demand = demand
	}
	return sizes
}

func (p *Planner) state(service string) *serviceState {
	state := p.services[service]
	if state == nil {
		state = &serviceState{}
		p.services[service] = state
	}
	return state
}

// slotsOf returns the number of requests that an endpoint of the service runs at once, 0 if unknown.
func slotsOf(service *deployment.Service) int {
	if service.Engine == nil {
		return 0
	}
	return service.Engine.Slots
}

// neededCounts has the numbers of endpoints that a demand needs.
type neededCounts struct {
	// target is the number of endpoints at TargetLoad, reclaimable ones where the service has them. degraded is the number
	// at DegradedLoad, below which on-demand endpoints replace missing reclaimable ones. onDemand is the number of
	// on-demand endpoints that are always kept, at OnDemandLoad.
	target, degraded, onDemand int
}

// endpointsNeeded returns the numbers of endpoints for a demand that keeps busy endpoints busy. Before the demand is known,
// that of the endpoints at the start at TargetLoad is assumed.
func (p *Planner) endpointsNeeded(state *serviceState, busy float64) neededCounts {
	counts := neededCounts{
		target: endpointsFor(busy, p.cfg.TargetLoad), degraded: endpointsFor(busy, p.cfg.DegradedLoad),
		onDemand: endpointsFor(busy, p.cfg.OnDemandLoad),
	}
	if !state.hadDemand {
		assumed := float64(state.initial) * p.cfg.TargetLoad
		counts = neededCounts{
			target: state.initial, degraded: endpointsFor(assumed, p.cfg.DegradedLoad),
			onDemand: endpointsFor(assumed, p.cfg.OnDemandLoad),
		}
	}
	return counts
}

// reclaimWave reports whether further reclaims are expected.
func (p *Planner) reclaimWave(now time.Time, state *serviceState) bool {
	return !state.lastReclaim.IsZero() && now.Sub(state.lastReclaim) < p.cfg.ReclaimWaveDuration
}

// expectedToRemain returns how many of the ready reclaimable endpoints are expected to remain.
func (p *Planner) expectedToRemain(now time.Time, state *serviceState, ready int) int {
	if p.reclaimWave(now, state) {
		return int(float64(ready) * p.cfg.ReclaimWaveRemainingShare)
	}
	return ready
}

// registrationDelay is how long the number of endpoints must be unchanged before it counts as the number at the start:
// longer than the period at which endpoints write their entries.
const registrationDelay = 1500 * time.Millisecond

// emptyRegistrationDelay replaces registrationDelay while no endpoint is registered, so that a service that has lost
// all of its endpoints gets new ones.
const emptyRegistrationDelay = 5 * time.Second

// updateInitial updates initial and registered from the listed endpoints and reports whether the number at the start is
// known.
func (s *serviceState) updateInitial(now time.Time, current listedCounts) bool {
	if s.initialKnown {
		return true
	}
	if total := current.total(true) + current.total(false); total != s.registered || s.registeredSince.IsZero() {
		s.registered, s.registeredSince = total, now
	}
	wait := registrationDelay
	if s.registered == 0 {
		wait = emptyRegistrationDelay
	}
	if now.Sub(s.registeredSince) >= wait {
		s.initial, s.initialKnown = s.registered, true
	}
	return s.initialKnown
}

// endpointsFor returns the number of endpoints, at least 1, that carry busy endpoints' work at a load.
func endpointsFor(busy, load float64) int { return max(int(math.Ceil(busy/load)), 1) }

// update records the number that is wanted now and returns the number to hold.
func (s *stabilisedCount) update(now time.Time, wanted int, scaleDownDelay time.Duration) int {
	switch {
	case wanted >= s.count:
		s.count, s.smallerSince, s.largestSince = wanted, time.Time{}, 0
	case s.smallerSince.IsZero():
		s.smallerSince, s.largestSince = now, wanted
	default:
		s.largestSince = max(s.largestSince, wanted)
		if now.Sub(s.smallerSince) >= scaleDownDelay {
			s.count, s.smallerSince, s.largestSince = s.largestSince, time.Time{}, 0
		}
	}
	return s.count
}

// resetDelay restarts the time for which a smaller number must suffice.
func (s *stabilisedCount) resetDelay() { s.smallerSince, s.largestSince = time.Time{}, 0 }

// dataCentres returns the data centres of a service, cheapest first, then by name.
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

// listedCounts has the numbers of listed endpoints of a service.
type listedCounts struct {
	// reclaimable and onDemand have the number of endpoints that are not leaving, by data centre.
	reclaimable, onDemand map[string]int
	// underReclaim is the number of endpoints that leave because the cloud reclaims them.
	underReclaim int
}

// countEndpoints counts the endpoints of a service in a view.
func countEndpoints(view *deployment.View, service string) listedCounts {
	c := listedCounts{reclaimable: make(map[string]int), onDemand: make(map[string]int)}
	for _, endpoint := range view.Endpoints {
		switch {
		case endpoint.Service != service:
			continue
		case endpoint.Leaving && endpoint.Reclaimable && endpoint.LeavesIn > 0:
			c.underReclaim++
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

// total returns the number of endpoints of a kind in all data centres.
func (c listedCounts) total(reclaimable bool) int {
	sum := 0
	for _, n := range c.byDataCentre(reclaimable) {
		sum += n
	}
	return sum
}

func (c listedCounts) byDataCentre(reclaimable bool) map[string]int {
	if reclaimable {
		return c.reclaimable
	}
	return c.onDemand
}

// distribute divides the numbers of endpoints evenly over the data centres, cheapest
// first, within the bounds of each. On-demand endpoints are placed first, since
// they are fewer and reclaimable ones must not take their places. On-demand
// endpoints also make up the number of a data centre that is below the minimum.
func distribute(service *deployment.Service, centres []string, reclaimable, onDemand int, current listedCounts) []Size {
	minimum := min(service.Scaling.Min, service.Scaling.Max)
	capacity := make(map[string]int, len(centres))
	for _, centre := range centres {
		capacity[centre] = service.Scaling.Max
	}
	sizes := make([]Size, 0, 2*len(centres))
	onDemandCounts := allocate(onDemand, centres, capacity)
	reclaimableCounts := allocate(reclaimable, centres, capacity)
	for _, centre := range centres {
		if shortfall := minimum - onDemandCounts[centre] - reclaimableCounts[centre]; shortfall > 0 {
			onDemandCounts[centre] += shortfall
		}
		if service.Scaling.ReclaimablePrice > 0 {
			sizes = append(sizes, Size{
				Service: service.Name, DataCentre: centre, Reclaimable: true,
				Count: reclaimableCounts[centre], Current: current.reclaimable[centre],
			})
		}
		sizes = append(sizes, Size{
			Service: service.Name, DataCentre: centre, Count: onDemandCounts[centre], Current: current.onDemand[centre],
		})
	}
	return sizes
}

// allocate distributes n endpoints over the data centres in turn, within capacity, and subtracts them from it.
func allocate(n int, centres []string, capacity map[string]int) map[string]int {
	allocated := make(map[string]int, len(centres))
	for n > 0 {
		previous := n
		for _, centre := range centres {
			if n > 0 && capacity[centre] > 0 {
				allocated[centre]++
				capacity[centre]--
				n--
			}
		}
		if n == previous {
			break // every data centre is full
		}
	}
	return allocated
}
