package dispatch

import (
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"knapweedhoist/deployment"
)

// ErrNoEndpoint tells that no endpoint of the service can take the request.
var ErrNoEndpoint = errors.New("dispatch: no endpoint")

// stateMemory is how long an endpoint without requests is remembered.
const stateMemory = 30 * time.Second

// Table chooses endpoints. It is safe for concurrent use.
type Table struct {
	cfg    Config
	mu     sync.Mutex
	states map[string]*endpointState
	// read is the number of prompt tokens that endpoints had to read, by service, since the start.
	read map[string]int64
}

// NewTable returns a Table that knows no endpoint yet.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg.withDefaults(), states: make(map[string]*endpointState), read: make(map[string]int64)}
}

// Choose returns a flight to the cheapest endpoint, or ErrNoEndpoint.
func (t *Table) Choose(now time.Time, query Query) (*Flight, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	home := t.home(query)
	var best *deployment.Endpoint
	var bestCost time.Duration
	for id, endpoint := range query.Endpoints {
		if !eligible(endpoint, query) {
			continue
		}
		cost := t.cost(now, query, endpoint, id == home)
		if best == nil || cost < bestCost || cost == bestCost && id < best.ID {
			best, bestCost = endpoint, cost
		}
	}
	if best == nil {
		return nil, ErrNoEndpoint
	}
	return t.start(now, query, best, bestCost), nil
}

func eligible(endpoint *deployment.Endpoint, query Query) bool {
	return endpoint.Service == query.Service.Name && !endpoint.Leaving && !query.Tried[endpoint.ID]
}

// home returns the endpoint that every instance ranks first for the shared
// parts of the prompt, or "" when there are none.
func (t *Table) home(query Query) string {
	shared := query.shared()
	if len(shared) == 0 {
		return ""
	}
	key := shared[len(shared)-1].ID
	var best string
	var bestRank uint64
	for id, endpoint := range query.Endpoints {
		if !eligible(endpoint, query) {
			continue
		}
		if rank := xxh3.HashStringSeed(id, key); best == "" || rank > bestRank {
			best, bestRank = id, rank
		}
	}
	return best
}

func (t *Table) cost(now time.Time, query Query, endpoint *deployment.Endpoint, home bool) time.Duration {
	state := t.state(endpoint.ID)
	cost := state.penalty(now, t.cfg)
	if endpoint.DataCentre != t.cfg.DataCentre {
		cost += t.cfg.DistanceCost
	}
	if query.Service.Engine == nil {
		return cost + t.plainCost(now, state, endpoint)
	}
	return cost + t.engineCost(now, query, state, endpoint, home)
}

// plainCost is the expected time of the request in the queue and at work.
func (t *Table) plainCost(now time.Time, state *endpointState, endpoint *deployment.Endpoint) time.Duration {
	running := state.running + state.peerRunning
	turns := 1 + float64(max(running-endpoint.Slots+1, 0))/float64(endpoint.Slots) + float64(running)/float64(4*endpoint.Slots)
	return time.Duration(float64(t.cfg.PlainWork) * turns * state.slowness(now))
}

// engineCost is the expected time to the first token, with the reading of a
// prefix that is cached elsewhere weighted.
func (t *Table) engineCost(
	now time.Time, query Query, state *endpointState, endpoint *deployment.Endpoint, home bool,
) time.Duration {
	missing := state.missing(now, query, t.cfg.CacheMemory)
	read := float64(missing)
	if shared := sharedTokens(query); shared > 0 && !home && missing >= query.Tokens-shared {
		known := query.Tokens - missing // tokens that are cached here
		read += (t.cfg.RereadWeight - 1) * float64(max(shared-known, 0))
	}
	ahead := float64(state.pending + state.peerPending)
	prefill := (ahead + read) / t.cfg.PrefillRate * float64(time.Millisecond)
	running := state.running + state.peerRunning
	cost := prefill + float64(running)*float64(t.cfg.RunCost)
	if full := running - endpoint.Slots*9/10; full > 0 {
		cost += float64(full) * float64(t.cfg.PlainWork)
	}
	return time.Duration(cost*state.slowness(now)) + endpoint.WarmUpRemaining/4
}

func sharedTokens(query Query) int {
	total := 0
	for _, part := range query.shared() {
		total += part.Tokens
	}
	return total
}

func (t *Table) start(now time.Time, query Query, endpoint *deployment.Endpoint, cost time.Duration) *Flight {
	state := t.state(endpoint.ID)
	flight := &Flight{Endpoint: endpoint, Cost: cost, table: t, state: state}
	if query.Service.Engine != nil {
		flight.Missing = state.missing(now, query, t.cfg.CacheMemory)
		flight.pending = flight.Missing
		t.read[query.Service.Name] += int64(flight.Missing)
		state.remember(now, query.Prompt)
	}
	state.running++
	state.pending += flight.pending
	state.usedAt = now
	return flight
}

func (t *Table) state(id string) *endpointState {
	state := t.states[id]
	if state == nil {
		state = &endpointState{}
		t.states[id] = state
	}
	return state
}

// Forget drops what is known of an endpoint that has started again under its ID: its cache is empty, and its
// failures are those of the start before. Flights in progress keep their state.
func (t *Table) Forget(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.states, endpoint)
}

// Work is the load of one endpoint that comes from one instance.
type Work struct {
	Endpoint string
	// Running is the number of requests, Pending the prompt tokens to read before their first tokens.
	Running, Pending int
}

// Local returns the work of this instance, for the other instances.
func (t *Table) Local() []Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Work
	for id, state := range t.states {
		if state.running > 0 {
			all = append(all, Work{Endpoint: id, Running: state.running, Pending: state.pending})
		}
	}
	return all
}

// Read returns the prompt tokens that this instance's requests made endpoints read since the start, by service.
func (t *Table) Read() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.read)
}

// SetPeers replaces the work of all other instances, summed by endpoint.
func (t *Table) SetPeers(sums map[string]Work) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, state := range t.states {
		if _, ok := sums[id]; !ok {
			state.peerRunning, state.peerPending = 0, 0
		}
	}
	for id, work := range sums {
		state := t.state(id)
		state.peerRunning, state.peerPending = work.Running, work.Pending
	}
}

// Sweep forgets endpoints that are neither listed nor in use, and old prefixes.
func (t *Table) Sweep(now time.Time, endpoints map[string]*deployment.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, state := range t.states {
		if endpoints[id] == nil && state.running == 0 && now.Sub(state.usedAt) > stateMemory {
			delete(t.states, id)
			continue
		}
		for part, used := range state.cached {
			if now.Sub(used) > t.cfg.CacheMemory {
				delete(state.cached, part)
			}
		}
	}
}
