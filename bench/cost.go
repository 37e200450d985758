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
	costLength   = 24 * time.Hour
	costStep     = 30 * time.Second
	costUnits    = 10
	costStartup  = 3 * time.Minute
	costOnDemand = 10.0
	// waveEvery is the time between reclaims of all reclaimable instances of a zone, in turn.
	waveEvery = 5 * time.Hour
	// waveRefused is how long the zone refuses reclaimable instances after a wave; the others refuse some for waveScarce.
	waveRefused = 30 * time.Minute
	waveScarce  = 10 * time.Minute
	scarceShare = 0.5
	// strayReclaims is the rate of single reclaims of an instance, per hour.
	strayReclaims = 0.05
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
type costWorld struct {
	variant  costVariant
	rng      *rand.Rand
	now      time.Time
	snapshot capacity.Snapshot
	forecast capacity.DemandWindow
	next     int
	// wave is the zone that was reclaimed last, at waveAt.
	wave   int
	waveAt time.Time

	cost      float64
	shortfall time.Duration
	// lowest is the smallest ratio of serving capacity to demand after the start.
	lowest  float64
	starts  int
	drains  int
	refused int
	lost    int
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
		w := &costWorld{variant: v, rng: rand.New(rand.NewSource(seed)), now: epoch, wave: -1, lowest: math.Inf(1)}
		w.run()
		if v.name == "on_demand_only" {
			reference = w.cost
		}
		saving := 0.0
		if reference > 0 {
			saving = 100 * (1 - w.cost/reference)
		}
		r.add(v.name, w.cost, saving, w.shortfall.Minutes(), w.lowest,
			float64(w.starts), float64(w.drains), float64(w.refused), float64(w.lost))
	}
	return r
}

func (w *costWorld) run() {
	share, spare := w.variant.reclaimable, w.variant.spare
	w.snapshot.Preset = catalog.Preset{ReclaimableShare: &share, SpareDatacentres: &spare}
	for w.now.Before(epoch.Add(costLength)) {
		w.step()
	}
}

// step advances the day by one step.
func (w *costWorld) step() {
	w.now = w.now.Add(costStep)
	demand := w.demand()
	w.reclaim()
	w.advance()
	planned := demand
	if w.variant.static {
		planned = highestDemand
	}
	w.forecast.Observe(w.now, planned)
	w.snapshot.Offers = w.offers()
	w.snapshot.Services = []capacity.Service{{
		Name: serviceModel, Peak: w.forecast.Peak(w.now), DrainsDisabled: !w.forecast.Full(w.now),
	}}
	for _, o := range capacity.Plan(w.now, capacity.DefaultConfig(), 1, w.snapshot) {
		w.apply(o)
	}
	w.account(demand)
}

// Bounds of the demand in units.
const (
	lowestDemand  = 60.0
	highestDemand = 210.0
)

// demand follows the day with 5% noise.
func (w *costWorld) demand() float64 {
	day := w.now.Sub(epoch).Hours() / 24
	mean := (lowestDemand + highestDemand) / 2
	wave := (highestDemand - lowestDemand) / 2 / 1.05
	return (mean - wave*math.Cos(2*math.Pi*day)) * (1 + 0.05*math.Sin(float64(w.now.Unix()%1771)))
}

// offers are on-demand and reclaimable instances; reclaimable prices differ by zone and move during the day.
func (w *costWorld) offers() []capacity.Offer {
	var list []capacity.Offer
	hours := w.now.Sub(epoch).Hours()
	for i, name := range datacentres {
		price := 3.4 + 0.3*float64(i) + 0.5*math.Sin(hours/3+float64(i))
		on := capacity.Offer{Zone: name, Datacentre: name, Class: "gpu", PricePerHour: costOnDemand, Units: costUnits}
		spot := on
		spot.Reclaimable, spot.PricePerHour, spot.ReclaimsPerHour = true, price, strayReclaims+1/waveEvery.Hours()/4
		list = append(list, on, spot)
	}
	return list
}

// reclaim ends reclaimable instances: a whole zone in a wave, and stray ones.
func (w *costWorld) reclaim() {
	if since := w.now.Sub(epoch); since%waveEvery < costStep && since > waveEvery/2 {
		w.wave++
		w.waveAt = w.now
	}
	hit := w.now.Equal(w.waveAt)
	kept := w.snapshot.Instances[:0]
	for _, i := range w.snapshot.Instances {
		stray := w.rng.Float64() < strayReclaims*costStep.Hours()
		inWave := hit && i.Offer.Zone == datacentres[w.wave%len(datacentres)]
		if i.Offer.Reclaimable && (stray || inWave) {
			w.lost++
			continue
		}
		kept = append(kept, i)
	}
	w.snapshot.Instances = kept
}

// advance makes started instances ready and drained ones idle, and forgets old refusals.
func (w *costWorld) advance() {
	for k := range w.snapshot.Instances {
		i := &w.snapshot.Instances[k]
		if i.State == capacity.StateStarting && w.now.Sub(i.StartedAt) >= costStartup {
			i.State, i.Since = capacity.StateReady, w.now
		}
		i.Idle = i.State == capacity.StateDraining && w.now.Sub(i.Since) >= time.Minute
	}
	var recent []capacity.Refusal
	for _, r := range w.snapshot.Refusals {
		if w.now.Sub(r.At) < capacity.DefaultConfig().RefusalBackoff {
			recent = append(recent, r)
		}
	}
	w.snapshot.Refusals = recent
}

func (w *costWorld) apply(o capacity.Order) {
	switch o.Kind {
	case capacity.OrderStart:
		w.start(o)
	case capacity.OrderDrain, capacity.OrderStop:
		w.end(o)
	case capacity.OrderEngine:
	}
}

// start starts an instance, unless the zone refuses.
func (w *costWorld) start(o capacity.Order) {
	if w.refuses(o.Offer) {
		w.refused++
		w.snapshot.Refusals = append(w.snapshot.Refusals, capacity.Refusal{
			Zone: o.Offer.Zone, Class: o.Offer.Class, Reclaimable: o.Offer.Reclaimable, At: w.now,
		})
		return
	}
	w.starts++
	w.next++
	w.snapshot.Instances = append(w.snapshot.Instances, capacity.Instance{
		ID: fmt.Sprintf("i%05d", w.next), Service: o.Service, Offer: o.Offer,
		State: capacity.StateStarting, StartedAt: w.now, Since: w.now,
	})
}

func (w *costWorld) refuses(o capacity.Offer) bool {
	if !o.Reclaimable || w.wave < 0 {
		return false
	}
	since := w.now.Sub(w.waveAt)
	if o.Zone == datacentres[w.wave%len(datacentres)] {
		return since < waveRefused
	}
	return since < waveScarce && w.rng.Float64() < scarceShare
}

func (w *costWorld) end(o capacity.Order) {
	for k := range w.snapshot.Instances {
		i := &w.snapshot.Instances[k]
		if i.ID != o.Instance {
			continue
		}
		if o.Kind == capacity.OrderStop {
			w.snapshot.Instances = append(w.snapshot.Instances[:k], w.snapshot.Instances[k+1:]...)
			return
		}
		w.drains++
		i.State, i.Since = capacity.StateDraining, w.now
	}
}

// costWarmup is the time in which the first instances start.
const costWarmup = 10 * time.Minute

// account adds the step's cost and compares the serving capacity with the demand.
func (w *costWorld) account(demand float64) {
	ready := 0.0
	for _, i := range w.snapshot.Instances {
		w.cost += i.Offer.PricePerHour * costStep.Hours()
		if i.State == capacity.StateReady {
			ready += i.Offer.Units
		}
	}
	if w.now.Sub(epoch) < costWarmup {
		return
	}
	w.lowest = math.Min(w.lowest, ready/demand)
	if ready < demand {
		w.shortfall += costStep
	}
}
