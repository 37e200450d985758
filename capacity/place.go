package capacity

import (
	"math"
	"sort"

	"knapweedhoist/engine"
)

// Roles of engines.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// loadBudget is what may be loaded by the orders of one plan: the store's rate over the interval, less the loads under way.
func (s *Snapshot) loadBudget(cfg Config) float64 {
	budget := s.WeightBytesPerSecond * cfg.PlanInterval.Seconds()
	for _, i := range s.Instances {
		budget -= i.LoadingBytes
	}
	return budget
}

// place orders models, adapters and roles for the instances that are ready.
func (p *plan) place(s Service, counted []Instance) {
	var ready []Instance
	for _, i := range counted {
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

// byShare orders models by demand, the largest first, so that the most used are loaded first.
func byShare(models []Model) []Model {
	models = append([]Model(nil), models...)
	sort.SliceStable(models, func(a, b int) bool { return models[a].Share > models[b].Share })
	return models
}

// placeModel loads the model on as many instances as its demand needs and on at least one more data centre than may be
// lost. A load larger than the budget of a plan is ordered only when no other load is under way.
func (p *plan) placeModel(s Service, m Model, ready []Instance) {
	holders, datacentres := holders(m.Name, ready)
	spare := valueOr(p.snapshot.Preset.SpareDatacentres, defaultSpare)
	want := max(spare+1, int(math.Ceil(m.Share*float64(len(ready)))))
	for holders < min(want, len(ready)) {
		i, ok := nextHolder(m.Name, ready, datacentres)
		if !ok || !p.affords(m.Bytes) {
			return
		}
		p.loadBudget -= m.Bytes
		ready[i].Loaded = append(append([]string(nil), ready[i].Loaded...), m.Name)
		datacentres[ready[i].Offer.Datacentre]++
		holders++
		p.order(Order{
			Kind: OrderEngine, Service: s.Name, Instance: ready[i].ID, Reason: "model demand",
			Engine: engine.Order{Kind: m.orderKind(), Fence: p.fence, Name: m.Name, Version: m.Version},
		})
	}
}

func (p *plan) affords(bytes float64) bool {
	full := p.snapshot.loadBudget(p.cfg)
	untouched := p.loadBudget == full && full == p.snapshot.WeightBytesPerSecond*p.cfg.PlanInterval.Seconds()
	return bytes <= p.loadBudget || untouched && full > 0
}

func (m Model) orderKind() engine.OrderKind {
	if m.Adapter {
		return engine.OrderLoadAdapter
	}
	return engine.OrderLoadModel
}

// holders counts the instances that have the model, also by data centre.
func holders(model string, ready []Instance) (int, map[string]int) {
	byDatacentre := make(map[string]int)
	n := 0
	for _, i := range ready {
		if i.has(model) {
			n++
			byDatacentre[i.Offer.Datacentre]++
		}
	}
	return n, byDatacentre
}

// nextHolder returns the instance without the model whose data centre holds it least, then with the fewest models.
func nextHolder(model string, ready []Instance, byDatacentre map[string]int) (int, bool) {
	best := -1
	for k, i := range ready {
		if i.has(model) {
			continue
		}
		if best < 0 || less(i, ready[best], byDatacentre) {
			best = k
		}
	}
	return best, best >= 0
}

func less(a, b Instance, byDatacentre map[string]int) bool {
	x, y := byDatacentre[a.Offer.Datacentre], byDatacentre[b.Offer.Datacentre]
	if x != y {
		return x < y
	}
	return len(a.Loaded) < len(b.Loaded)
}

func (i *Instance) has(model string) bool {
	for _, name := range i.Loaded {
		if name == model {
			return true
		}
	}
	return false
}

// placeRoles gives the wanted number of instances each role; instances that have a wanted role keep it.
func (p *plan) placeRoles(s Service, ready []Instance) {
	if len(s.Models) == 0 {
		return
	}
	prefill := int(math.Round(s.PrefillShare * float64(len(ready))))
	others := RoleDecode
	if prefill == 0 || prefill == len(ready) {
		prefill, others = 0, RoleMixed
	}
	sort.SliceStable(ready, func(a, b int) bool {
		return ready[a].Role == RolePrefill && ready[b].Role != RolePrefill
	})
	for k, i := range ready {
		role := others
		if k < prefill {
			role = RolePrefill
		}
		if i.Role == role {
			continue
		}
		p.order(Order{
			Kind: OrderEngine, Service: s.Name, Instance: i.ID, Reason: "role",
			Engine: engine.Order{Kind: engine.OrderSetRole, Fence: p.fence, Role: role},
		})
	}
}
