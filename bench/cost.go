package bench

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"knapweedhoist/capacity"
	"knapweedhoist/catalog"
)

// Figures of the cost scenario: a day in steps, four zones, instances of ten units.
const (
	costLength        = 24 * time.Hour
	costStep          = 30 * time.Second
	costInstanceUnits = 10
	costStartup       = 3 * time.Minute
	costOnDemandPrice = 10.0
	// waveEvery is the time between reclaims of all reclaimable instances of a zone, in turn.
	waveInterval = 5 * time.Hour
	// waveRefused is how long the zone refuses reclaimable instances after a wave; the others refuse some for waveScarce.
	refusalLength      = 30 * time.Minute
	scarceLength       = 10 * time.Minute
	scarceRefusalShare = 0.5
	// strayReclaims is the rate of single reclaims of an instance, per hour.
	singleReclaimsPerHour = 0.05
)

// costVariant is a preset, or a fleet of constant size.
type costVariant struct {
	name        string
	reclaimable int
	spare       int
	static      bool
}

func costVariants() []costVariant {
	return []costVariant{
		{name: "static_on_demand", static: true, spare: 1},
		{name: "on_demand_only", spare: 1},
		{name: "reclaimable_no_spare", reclaimable: 100},
		{name: "reclaimable_spare", reclaimable: 100, spare: 1},
		{name: "policy", reclaimable: 56, spare: 1},
	}
}

// costWorld is one run of the cost scenario.
type costSimulation struct {
	variant      costVariant
	rng          *rand.Rand
	now          time.Time
	snapshot     capacity.Snapshot
	demandWindow capacity.DemandWindow
	lastID       int
	// wave is the zone that was reclaimed last, at waveAt.
	lastWave   int
	lastWaveAt time.Time

	cost      float64
	shortfall time.Duration
	// lowest is the smallest ratio of serving capacity to demand after the start.
	lowestRatio   float64
	starts        int
	drains        int
	refusedStarts int
	reclaimed     int
}

func measureCost(seed int64) *report {
	r := &report{
		name: "capacity_cost",
		about: fmt.Sprintf("a day with a reclaim wave of a zone every 5 h and refusals (seed %d, %s virtual)",
			seed, costLength),
		columns: []string{"cost", "saving_pct", "short_minutes", "lowest_ratio", "starts", "drains", "refused", "reclaimed"},
	}
	reference := 0.0
	for _, v := range costVariants() {
		sim := &costSimulation{variant: v, rng: rand.New(rand.NewSource(seed)), now: epoch, lastWave: -1, lowestRatio: math.Inf(1)}
		sim.run()
		if v.name == "on_demand_only" {
			reference = sim.cost
		}
		saving := 0.0
		if reference > 0 {
			saving = 100 * (1 - sim.cost/reference)
		}
		r.add(v.name, sim.cost, saving, sim.shortfall.Minutes(), sim.lowestRatio,
			float64(sim.starts), float64(sim.drains), float64(sim.refusedStarts), float64(sim.reclaimed))
	}
	return r
}

func (sim *costSimulation) run() {
	share, spare := sim.variant.reclaimable, sim.variant.spare
	sim.snapshot.Preset = catalog.Preset{ReclaimableShare: &share, SpareDatacentres: &spare}
	for sim.now.Before(epoch.Add(costLength)) {
		sim.runStep()
	}
}

// step advances the day by one step.
func (sim *costSimulation) runStep() {
	sim.now = sim.now.Add(costStep)
	demand := sim.demand()
	sim.reclaim()
	sim.updateStates()
	planned := demand
	if sim.variant.static {
		planned = highestDemand
	}
	sim.demandWindow.Observe(sim.now, planned)
	sim.snapshot.Offers = sim.offers()
	sim.snapshot.Services = []capacity.Service{{
		Name: serviceModel, Peak: sim.demandWindow.Peak(sim.now), DrainsDisabled: !sim.demandWindow.Full(sim.now),
	}}
	for _, o := range capacity.Plan(sim.now, capacity.DefaultConfig(), 1, sim.snapshot) {
		sim.apply(o)
	}
	sim.recordCost(demand)
}

// Bounds of the demand in units.
const (
	lowestDemand  = 60.0
	highestDemand = 210.0
)

// demand follows the day with 5% noise.
func (sim *costSimulation) demand() float64 {
	day := sim.now.Sub(epoch).Hours() / 24
	mean := (lowestDemand + highestDemand) / 2
	amplitude := (highestDemand - lowestDemand) / 2 / 1.05
	return (mean - amplitude*math.Cos(2*math.Pi*day)) * (1 + 0.05*math.Sin(float64(sim.now.Unix()%1771)))
}

// offers are on-demand and reclaimable instances; reclaimable prices differ by zone and move during the day.
func (sim *costSimulation) offers() []capacity.Offer {
	var list []capacity.Offer
	hours := sim.now.Sub(epoch).Hours()
	for i, name := range datacentres {
		price := 3.4 + 0.3*float64(i) + 0.5*math.Sin(hours/3+float64(i))
		onDemand := capacity.Offer{Zone: name, Datacentre: name, Class: "gpu", PricePerHour: costOnDemandPrice, Units: costInstanceUnits}
		spot := onDemand
		spot.Reclaimable, spot.PricePerHour, spot.ReclaimsPerHour = true, price, singleReclaimsPerHour+1/waveInterval.Hours()/4
		list = append(list, onDemand, spot)
	}
	return list
}

// reclaim ends reclaimable instances: a whole zone in a wave, and stray ones.
func (sim *costSimulation) reclaim() {
	if elapsed := sim.now.Sub(epoch); elapsed%waveInterval < costStep && elapsed > waveInterval/2 {
		sim.lastWave++
		sim.lastWaveAt = sim.now
	}
	waveStarts := sim.now.Equal(sim.lastWaveAt)
	kept := sim.snapshot.Instances[:0]
	for _, i := range sim.snapshot.Instances {
		single := sim.rng.Float64() < singleReclaimsPerHour*costStep.Hours()
		inWave := waveStarts && i.Offer.Zone == datacentres[sim.lastWave%len(datacentres)]
		if i.Offer.Reclaimable && (single || inWave) {
			sim.reclaimed++
			continue
		}
		kept = append(kept, i)
	}
	sim.snapshot.Instances = kept
}

// advance makes started instances ready and drained ones idle, and forgets old refusals.
func (sim *costSimulation) updateStates() {
	for k := range sim.snapshot.Instances {
		i := &sim.snapshot.Instances[k]
		if i.State == capacity.StateStarting && sim.now.Sub(i.StartedAt) >= costStartup {
			i.State, i.Since = capacity.StateReady, sim.now
		}
		i.Idle = i.State == capacity.StateDraining && sim.now.Sub(i.Since) >= time.Minute
	}
	var recent []capacity.Refusal
	for _, r := range sim.snapshot.Refusals {
		if sim.now.Sub(r.At) < capacity.DefaultConfig().RefusalBackoff {
			recent = append(recent, r)
		}
	}
	sim.snapshot.Refusals = recent
}

func (sim *costSimulation) apply(o capacity.Order) {
	switch o.Kind {
	case capacity.OrderStart:
		sim.start(o)
	case capacity.OrderDrain, capacity.OrderStop:
		sim.drainOrStop(o)
	case capacity.OrderEngine:
	}
}

// start starts an instance, unless the zone refuses.
func (sim *costSimulation) start(o capacity.Order) {
	if sim.refuses(o.Offer) {
		sim.refusedStarts++
		sim.snapshot.Refusals = append(sim.snapshot.Refusals, capacity.Refusal{
			Zone: o.Offer.Zone, Class: o.Offer.Class, Reclaimable: o.Offer.Reclaimable, At: sim.now,
		})
		return
	}
	sim.starts++
	sim.lastID++
	sim.snapshot.Instances = append(sim.snapshot.Instances, capacity.Instance{
		ID: fmt.Sprintf("i%05d", sim.lastID), Service: o.Service, Offer: o.Offer,
		State: capacity.StateStarting, StartedAt: sim.now, Since: sim.now,
	})
}

func (sim *costSimulation) refuses(o capacity.Offer) bool {
	if !o.Reclaimable || sim.lastWave < 0 {
		return false
	}
	elapsed := sim.now.Sub(sim.lastWaveAt)
	if o.Zone == datacentres[sim.lastWave%len(datacentres)] {
		return elapsed < refusalLength
	}
	return elapsed < scarceLength && sim.rng.Float64() < scarceRefusalShare
}

func (sim *costSimulation) drainOrStop(o capacity.Order) {
	for k := range sim.snapshot.Instances {
		i := &sim.snapshot.Instances[k]
		if i.ID != o.Instance {
			continue
		}
		if o.Kind == capacity.OrderStop {
			sim.snapshot.Instances = append(sim.snapshot.Instances[:k], sim.snapshot.Instances[k+1:]...)
			return
		}
		sim.drains++
		i.State, i.Since = capacity.StateDraining, sim.now
	}
}

// costWarmup is the time in which the first instances start.
const costWarmup = 10 * time.Minute

// account adds the step's cost and compares the serving capacity with the demand.
func (sim *costSimulation) recordCost(demand float64) {
	ready := 0.0
	for _, i := range sim.snapshot.Instances {
		sim.cost += i.Offer.PricePerHour * costStep.Hours()
		if i.State == capacity.StateReady {
			ready += i.Offer.Units
		}
	}
	if sim.now.Sub(epoch) < costWarmup {
		return
	}
	sim.lowestRatio = math.Min(sim.lowestRatio, ready/demand)
	if ready < demand {
		sim.shortfall += costStep
	}
}
