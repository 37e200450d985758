package routing

import (
	"math"
	"sort"

	"github.com/zeebo/xxh3"
)

// view is the immutable list of endpoints, indexed by service and model.
type view struct {
	groups map[groupKey]*group
}

// groupKey identifies the group of endpoints that can serve the same work.
type groupKey struct{ service, model string }

// group holds the candidates for one service and model.
type group struct {
	datacentres []datacentre // nearest first
	stats       *groupStats
	peerMeans   *peerLoadMeans
}

// datacentre holds the candidates of one data centre.
type datacentre struct {
	// distanceCost is added to the scores of the candidates, in ns (see Config.distanceCost).
	distanceCost float64
	candidates   []candidate
}

// candidate is an endpoint of a group with its state.
type candidate struct {
	endpoint *Endpoint
	profile  Profile
	state    *endpointState
	stats    *groupStats
	// readyAt is when the endpoint began to serve, in ns since the epoch; 0 means long ago.
	readyAt int64
	// reserved endpoints are used for short work, and for long work only when the others are much slower.
	reserved bool
}

// newView groups the endpoints. It omits those listed as leaving but creates their groups, so that Choose returns
// ErrNoEndpoint for them and not ErrUnknownService.
func newView(endpoints []Endpoint, states map[string]*endpointState, old *view, cfg *Config) *view {
	byKey := make(map[groupKey][]candidate)
	for i := range endpoints {
		e := &endpoints[i]
		c := candidate{endpoint: e, profile: e.Profile.withDefaults(), state: states[e.ID]}
		if !e.ReadyAt.IsZero() {
			c.readyAt = e.ReadyAt.UnixNano()
		}
		for _, key := range e.groupKeys() {
			list := byKey[key]
			if !e.Leaving {
				list = append(list, c)
			}
			byKey[key] = list
		}
	}
	v := &view{groups: make(map[groupKey]*group, len(byKey))}
	for key, list := range byKey {
		v.groups[key] = newGroup(list, old.groupStats(key), cfg)
	}
	return v
}

// groupKeys returns the keys of the groups that the endpoint belongs to: one for each model, or one without a model for
// a plain service.
func (e *Endpoint) groupKeys() []groupKey {
	if len(e.Models) == 0 {
		return []groupKey{{service: e.Service}}
	}
	keys := make([]groupKey, 0, len(e.Models))
	for _, model := range e.Models {
		keys = append(keys, groupKey{service: e.Service, model: model})
	}
	return keys
}

// groupStats returns the statistics of the group, or new ones if the view has no such group. A new view takes over
// those of the old one, so that a change of the list does not reset them.
func (v *view) groupStats(key groupKey) *groupStats {
	if v != nil && v.groups[key] != nil {
		return v.groups[key].stats
	}
	return &groupStats{}
}

// newGroup groups the candidates by data centre and sorts the data centres by cost, then name.
func newGroup(list []candidate, stats *groupStats, cfg *Config) *group {
	markReserved(list, cfg.ReservedShare)
	byDatacentre := make(map[string][]candidate)
	for i := range list {
		list[i].stats = stats
		name := list[i].endpoint.Datacentre
		byDatacentre[name] = append(byDatacentre[name], list[i])
	}
	g := &group{stats: stats, peerMeans: &peerLoadMeans{}}
	if len(list) > 0 {
		g.peerMeans = list[0].state.peerMeans
	}
	for name, candidates := range byDatacentre {
		g.datacentres = append(g.datacentres, datacentre{distanceCost: cfg.distanceCost(name), candidates: candidates})
	}
	sort.Slice(g.datacentres, func(i, j int) bool {
		a, b := &g.datacentres[i], &g.datacentres[j]
		if a.distanceCost != b.distanceCost {
			return a.distanceCost < b.distanceCost
		}
		return a.candidates[0].endpoint.Datacentre < b.candidates[0].endpoint.Datacentre
	})
	return g
}

// markReserved marks a share of the candidates of a model as reserved. It selects them by the hash of their IDs, so
// that all instances mark the same ones without exchanging messages.
func markReserved(list []candidate, share float64) {
	n := int(math.Round(share * float64(len(list))))
	if n == 0 || n >= len(list) || len(list[0].endpoint.Models) == 0 {
		return
	}
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := list[order[i]].endpoint.ID, list[order[j]].endpoint.ID
		ha, hb := xxh3.HashString(a), xxh3.HashString(b)
		return ha < hb || ha == hb && a < b
	})
	for _, i := range order[:n] {
		list[i].reserved = true
	}
}

// distanceCost returns the round-trip time to a data centre in ns, multiplied by DistanceWeight; 0 for the instance's
// own data centre.
func (c *Config) distanceCost(datacentre string) float64 {
	if datacentre == c.Datacentre {
		return 0
	}
	distance, ok := c.Distance[datacentre]
	if !ok {
		distance = DefaultDistance
	}
	return 2 * c.DistanceWeight * float64(distance)
}

// slowStartFactor returns the factor by which slow start raises an endpoint's score. It falls linearly from 4 to 1 over
// SlowStart.
func (c *Config) slowStartFactor(nowNs, readyAt int64) float64 {
	age := nowNs - readyAt
	if age >= int64(c.SlowStart) {
		return 1
	}
	return 4 - 3*max(0, float64(age)/float64(c.SlowStart))
}
