package routing

import (
	"math"
	"sort"

	"github.com/zeebo/xxh3"
)

// view is the immutable list of endpoints, arranged for decisions.
type view struct {
	groups map[groupKey]*group
}

// groupKey names the endpoints that can serve the same work.
type groupKey struct{ service, model string }

// group holds the candidates for one service and model, by data centre, nearest first.
type group struct {
	sites []site
	usual *usual
	peers *peers
}

// site holds the candidates of one data centre.
type site struct {
	// cost is the distance in ns, already weighted.
	cost       float64
	candidates []candidate
}

type candidate struct {
	endpoint *Endpoint
	profile  Profile
	state    *state
	usual    *usual
	// readyAt is when the endpoint began to serve, in ns since the epoch; 0 means long ago.
	readyAt int64
	// reserved endpoints are left to short work while others have room.
	reserved bool
}

// newView arranges the endpoints; leaving ones are left out but their groups exist.
func newView(endpoints []Endpoint, states map[string]*state, old *view, cfg *Config) *view {
	byKey := make(map[groupKey][]candidate)
	for i := range endpoints {
		e := &endpoints[i]
		c := candidate{endpoint: e, profile: e.Profile.withDefaults(), state: states[e.ID]}
		if !e.ReadyAt.IsZero() {
			c.readyAt = e.ReadyAt.UnixNano()
		}
		for _, key := range e.keys() {
			list := byKey[key]
			if !e.Leaving {
				list = append(list, c)
			}
			byKey[key] = list
		}
	}
	v := &view{groups: make(map[groupKey]*group, len(byKey))}
	for key, list := range byKey {
		v.groups[key] = newGroup(list, old.usual(key), cfg)
	}
	return v
}

// keys are the service and models that the endpoint serves.
func (e *Endpoint) keys() []groupKey {
	if len(e.Models) == 0 {
		return []groupKey{{service: e.Service}}
	}
	keys := make([]groupKey, 0, len(e.Models))
	for _, model := range e.Models {
		keys = append(keys, groupKey{service: e.Service, model: model})
	}
	return keys
}

// usual keeps the group's averages over changes of the list.
func (v *view) usual(key groupKey) *usual {
	if v != nil && v.groups[key] != nil {
		return v.groups[key].usual
	}
	return &usual{}
}

func newGroup(list []candidate, u *usual, cfg *Config) *group {
	reserve(list, cfg.ReservedShare)
	byDatacentre := make(map[string][]candidate)
	for i := range list {
		list[i].usual = u
		name := list[i].endpoint.Datacentre
		byDatacentre[name] = append(byDatacentre[name], list[i])
	}
	g := &group{usual: u, peers: &peers{}}
	if len(list) > 0 {
		g.peers = list[0].state.peers
	}
	for name, candidates := range byDatacentre {
		g.sites = append(g.sites, site{cost: cfg.cost(name), candidates: candidates})
	}
	sort.Slice(g.sites, func(i, j int) bool {
		a, b := &g.sites[i], &g.sites[j]
		if a.cost != b.cost {
			return a.cost < b.cost
		}
		return a.candidates[0].endpoint.Datacentre < b.candidates[0].endpoint.Datacentre
	})
	return g
}

// reserve marks a share of the candidates by hash, so that all instances mark the same ones without messages.
func reserve(list []candidate, share float64) {
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

// cost is the weighted round trip to a data centre in ns.
func (c *Config) cost(datacentre string) float64 {
	if datacentre == c.Datacentre {
		return 0
	}
	distance, ok := c.Distance[datacentre]
	if !ok {
		distance = DefaultDistance
	}
	return 2 * c.DistanceWeight * float64(distance)
}

// youth is 1 for an endpoint past its slow start and grows up to 4 for a new one.
func (c *Config) youth(nowNs, readyAt int64) float64 {
	age := nowNs - readyAt
	if age >= int64(c.SlowStart) {
		return 1
	}
	return 4 - 3*max(0, float64(age)/float64(c.SlowStart))
}
