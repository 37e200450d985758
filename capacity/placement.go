package capacity

import (
	"math"
	"sort"

	"knapweedhoist/engine"
)

// Roles of engines: prefill of prompts, decoding, or both.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// loadBudget returns the bytes that the orders of one plan may load: what the weight store delivers in PlanInterval,
// less the loads in progress.
func (s *Snapshot) loadBudget(cfg Config) float64 {
	budget := s.WeightBytesPerSecond * cfg.PlanInterval.Seconds()
	for _, i := range s.Instances {
		budget -= i.LoadingBytes
	}
	return budget
}

// placeModelsAndRoles orders model loads, adapter loads and roles for the ready instances.
func (p *plan) placeModelsAndRoles(s Service, active []Instance) {
	var ready []Instance
	for _, i := range active {
		if i.State == StateReady {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		return
	}
	for _, m := range byShare(s.Models) {
		p.placeModel(s, m, ready)
	}
	p.placeRoles(s, ready)
}

// byShare returns a copy of the list in descending order of demand, so that the most used models are loaded first.
func byShare(models []Model) []Model {
	models = append([]Model(nil), models...)
	sort.SliceStable(models, func(a, b int) bool { return models[a].Share > models[b].Share })
	return models
}

// placeModel loads the model on as many instances as its share of the demand requires, and on at least one more than
// the number of data centres that may be lost, spread over the data centres. A load larger than the load budget of a
// plan is ordered only when no other load is in progress or ordered.
func (p *plan) placeModel(s Service, m Model, ready []Instance) {
	holderCount, byDatacentre := countHolders(m.Name, ready)
	spare := valueOr(p.snapshot.Preset.SpareDatacentres, defaultSpareDatacentres)
	wantedHolders := max(spare+1, int(math.Ceil(m.Share*float64(len(ready)))))
	for holderCount < min(wantedHolders, len(ready)) {
		i, ok := nextHolder(m.Name, ready, byDatacentre)
		if !ok || !p.withinLoadBudget(m.Bytes) {
			return
		}
		p.remainingLoadBudget -= m.Bytes
		ready[i].Loaded = append(append([]string(nil), ready[i].Loaded...), m.Name)
		byDatacentre[ready[i].Offer.Datacentre]++
		holderCount++
		p.addOrder(Order{
			Kind: OrderEngine, Service: s.Name, Instance: ready[i].ID, Reason: "model demand",
			Engine: engine.Order{Kind: m.loadOrderKind(), Fence: p.fence, Name: m.Name, Version: m.Version},
		})
	}
}

// withinLoadBudget reports whether a load of the given size is within the remaining load budget, or no other load is
// in progress or ordered.
func (p *plan) withinLoadBudget(bytes float64) bool {
	available := p.snapshot.loadBudget(p.cfg)
	noLoads := p.remainingLoadBudget == available && available == p.snapshot.WeightBytesPerSecond*p.cfg.PlanInterval.Seconds()
	return bytes <= p.remainingLoadBudget || noLoads && available > 0
}

func (m Model) loadOrderKind() engine.OrderKind {
	if m.Adapter {
		return engine.OrderLoadAdapter
	}
	return engine.OrderLoadModel
}

// countHolders returns the number of instances that have the model loaded or are loading it, in total and by data
// centre.
func countHolders(model string, ready []Instance) (int, map[string]int) {
	byDatacentre := make(map[string]int)
	n := 0
	for _, i := range ready {
		if i.holds(model) {
			n++
			byDatacentre[i.Offer.Datacentre]++
		}
	}
	return n, byDatacentre
}

// nextHolder returns the index of the instance that should load the model next, and false if all have it. The order is
// that of preferAsHolder.
func nextHolder(model string, ready []Instance, byDatacentre map[string]int) (int, bool) {
	best := -1
	for k, i := range ready {
		if i.holds(model) {
			continue
		}
		if best < 0 || preferAsHolder(i, ready[best], byDatacentre) {
			best = k
		}
	}
	return best, best >= 0
}

// preferAsHolder reports whether a is a better holder than b: its data centre has fewer holders of the model, or the
// same number and a has fewer models loaded.
func preferAsHolder(a, b Instance, byDatacentre map[string]int) bool {
	x, y := byDatacentre[a.Offer.Datacentre], byDatacentre[b.Offer.Datacentre]
	if x != y {
		return x < y
	}
	return len(a.Loaded) < len(b.Loaded)
}

// holds reports whether the model is loaded or being loaded on the instance.
func (i *Instance) holds(model string) bool {
	for _, name := range i.Loaded {
		if name == model {
			return true
		}
	}
	return false
}

// placeRoles orders the role prefill for PrefillShare of the instances and decode for the rest, or mixed for all if one
// of the two would have no instance. Instances that have the role prefill are the first to keep it. For a service without
// models it orders no roles.
func (p *plan) placeRoles(s Service, ready []Instance) {
	if len(s.Models) == 0 {
		return
	}
	prefillCount := int(math.Round(s.PrefillShare * float64(len(ready))))
	otherRole := RoleDecode
	if prefillCount == 0 || prefillCount == len(ready) {
		prefillCount, otherRole = 0, RoleMixed
	}
	sort.SliceStable(ready, func(a, b int) bool {
		return ready[a].Role == RolePrefill && ready[b].Role != RolePrefill
	})
	for k, i := range ready {
		role := otherRole
		if k < prefillCount {
			role = RolePrefill
		}
		if i.Role == role {
			continue
		}
		p.addOrder(Order{
			Kind: OrderEngine, Service: s.Name, Instance: i.ID, Reason: "role",
			Engine: engine.Order{Kind: engine.OrderSetRole, Fence: p.fence, Role: role},
		})
	}
}
