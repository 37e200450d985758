package bench

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"knapweedhoist/capacity"
	"knapweedhoist/catalog"
)

// Parameters of the cost scenario: a day in steps, four zones, instances of ten capacity units.
const (
	costLength               = 24 * time.Hour
	costStep                 = 30 * time.Second
	costInstanceUnits        = 10
	costStartupTime          = 3 * time.Minute
	costOnDemandPricePerHour = 10.0
	// waveInterval is the time between reclaim waves. A wave reclaims all reclaimable instances of one zone; the zones
	// take turns.
	waveInterval = 5 * time.Hour
	// refusalLength is how long the reclaimed zone refuses to start reclaimable instances after a wave. For scarceLength
	// the other zones refuse such a start with the probability scarceRefusalShare.
	refusalLength      = 30 * time.Minute
	scarceLength       = 10 * time.Minute
	scarceRefusalShare = 0.5
	// singleReclaimsPerHour is the rate at which a reclaimable instance is reclaimed outside waves.
	singleReclaimsPerHour = 0.05
)

// costVariant is a preset, or a fleet of constant size if static is set.
type costVariant struct {
	name               string
	reclaimablePercent int
	spareDatacentres   int
	static             bool
}

func costVariants() []costVariant {
	return []costVariant{
		{name: "static_on_demand", static: true, spareDatacentres: 1},
		{name: "on_demand_only", spareDatacentres: 1},
		{name: "reclaimable_no_spare", reclaimablePercent: 100},
		{name: "reclaimable_spare", reclaimablePercent: 100, spareDatacentres: 1},
		{name: "policy", reclaimablePercent: 56, spareDatacentres: 1},
	}
}

// costSimulation is one run of the cost scenario.
type costSimulation struct {
	variant      costVariant
	rng          *rand.Rand
	now          time.Time
	snapshot     capacity.Snapshot
	demandWindow capacity.DemandWindow
	lastID       int
	// lastWave is the number of the last reclaim wave, from 0, or -1 before the first wave. lastWaveAt is its time, and
	// its zone is datacentres[lastWave%len(datacentres)].
	lastWave   int
	lastWaveAt time.Time

	cost      float64
	shortfall time.Duration
	// lowestRatio is the smallest ratio of ready capacity to demand after costWarmup.
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
	share, spare := sim.variant.reclaimablePercent, sim.variant.spareDatacentres
	sim.snapshot.Preset = catalog.Preset{ReclaimableShare: &share, SpareDatacentres: &spare}
	for sim.now.Before(epoch.Add(costLength)) {
		sim.runStep()
	}
}

// runStep advances the day by costStep.
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

// Approximate bounds of the demand in capacity units: with its variation the demand reaches 217.
const (
	lowestDemand  = 60.0
	highestDemand = 210.0
)

// demand returns the demand in capacity units: a daily cosine wave with a variation of up to 5% that depends only on
// the time.
func (sim *costSimulation) demand() float64 {
	day := sim.now.Sub(epoch).Hours() / 24
	mean := (lowestDemand + highestDemand) / 2
	amplitude := (highestDemand - lowestDemand) / 2 / 1.05
	return (mean - amplitude*math.Cos(2*math.Pi*day)) * (1 + 0.05*math.Sin(float64(sim.now.Unix()%1771)))
}

// offers returns an on-demand and a reclaimable offer for each zone. Reclaimable prices differ by zone and change
// during the day. ReclaimsPerHour includes the waves, every fourth of which reclaims the zone.
func (sim *costSimulation) offers() []capacity.Offer {
	var list []capacity.Offer
	hours := sim.now.Sub(epoch).Hours()
	for i, name := range datacentres {
		price := 3.4 + 0.3*float64(i) + 0.5*math.Sin(hours/3+float64(i))
		onDemand := capacity.Offer{Zone: name, Datacentre: name, Class: "gpu", PricePerHour: costOnDemandPricePerHour, Units: costInstanceUnits}
		reclaimable := onDemand
		reclaimable.Reclaimable, reclaimable.PricePerHour, reclaimable.ReclaimsPerHour = true, price, singleReclaimsPerHour+1/waveInterval.Hours()/4
		list = append(list, onDemand, reclaimable)
	}
	return list
}

// reclaim removes reclaimable instances: all of a zone in a wave, and single ones at random.
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

// updateStates marks instances as ready after their startup time and as idle after a minute of draining, and drops
// refusals older than the refusal backoff.
func (sim *costSimulation) updateStates() {
	for k := range sim.snapshot.Instances {
		i := &sim.snapshot.Instances[k]
		if i.State == capacity.StateStarting && sim.now.Sub(i.StartedAt) >= costStartupTime {
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

// start adds a starting instance, or records a refusal if the zone refuses the offer.
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

// costWarmup is excluded from the shortfall and the lowest ratio, since the first instances start during it.
const costWarmup = 10 * time.Minute

// recordCost adds the step's cost and compares the ready capacity with the demand.
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
