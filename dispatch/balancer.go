package dispatch

import (
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"knapweedhoist/deployment"
	"knapweedhoist/endpointlimit"
	"knapweedhoist/enginemodel"
	"knapweedhoist/fleetstate"
)

// ErrNoEndpoint means that every endpoint of the service is avoided or was already tried, or that it has none.
var ErrNoEndpoint = errors.New("dispatch: no eligible endpoint of the service")

// idleStateTTL is how long the state of an endpoint that is no longer listed is kept after its last request.
const idleStateTTL = 30 * time.Second

// Balancer selects endpoints by cost and tracks their load. It is safe for concurrent use.
type Balancer struct {
	cfg     Config
	learner *enginemodel.Learner
	// limits holds the rate limits of endpoints.
	limits *endpointlimit.Limits
	// mu guards the fields below, including the endpointStates.
	mu     sync.Mutex
	states map[string]*endpointState
	// otherLoads holds the load of all other instances. othersDelay is how old it is.
	otherLoads  map[uint32]fleetstate.EndpointLoad
	othersDelay time.Duration
	// prefillTokens is the sum of InFlight.UncachedTokens by service since the start.
	prefillTokens map[string]int64
	// running is the number of requests in flight by service.
	running map[string]int
}

// NewBalancer returns a Balancer without endpoint state. It observes the answers of endpoints in learner and uses the
// speeds that learner estimates.
func NewBalancer(cfg Config, learner *enginemodel.Learner) *Balancer {
	return &Balancer{
		cfg: cfg.withDefaults(), learner: learner, limits: endpointlimit.New(), states: make(map[string]*endpointState),
		prefillTokens: make(map[string]int64), running: make(map[string]int),
	}
}

// Choose selects the endpoint with the lowest cost among the candidates and counts the request as in flight there. All
// eligible endpoints are candidates while few requests of other instances arrive before their load is known; otherwise the
// candidates are a sample, which Query.Seed selects, and the preferred endpoint: all instances would choose the same
// endpoint for as long as its old load looks the lowest. While all endpoints are at their rate limits, Choose selects the one
// that takes a further request first; InFlight.Wait is the time until then. Choose returns ErrNoEndpoint when no endpoint is
// eligible, a RateLimitedError or PausedError when one will be later, and an OverloadedError when the chosen one is full and the
// request would be late.
func (b *Balancer) Choose(now time.Time, query Query) (*InFlight, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	choice := &choice{
		balancer: b, now: now, query: query, engine: b.learner.Engine(query.Service.Name), sharedTokens: sharedTokens(query),
	}
	candidates := choice.candidates()
	if len(candidates) == 0 {
		choice.ignoreRamps = true
		candidates = choice.candidates()
	}
	var best *deployment.Endpoint
	var bestCost time.Duration
	for _, endpoint := range candidates {
		cost := choice.cost(endpoint)
		if best == nil || cost < bestCost || cost == bestCost && endpoint.ID < best.ID {
			best, bestCost = endpoint, cost
		}
	}
	if best == nil {
		var err error
		if best, err = choice.chooseLater(); err != nil {
			return nil, err
		}
		bestCost = choice.cost(best)
	}
	if err := choice.checkOverload(best); err != nil {
		return nil, err
	}
	return b.startRequest(choice, best, bestCost), nil
}

// preferredEndpoint returns the ID of the eligible endpoint that ranks first by
// rendezvous hashing of the shared parts of the prompt, which is the same on
// every instance. It returns "" when the prompt has no shared parts.
func (c *choice) preferredEndpoint() string {
	shared := c.query.sharedParts()
	if len(shared) == 0 {
		return ""
	}
	key := shared[len(shared)-1].ID
	var best string
	var bestRank uint64
	for id, endpoint := range c.query.Endpoints {
		if !c.eligible(endpoint) {
			continue
		}
		if rank := xxh3.HashStringSeed(id, key); best == "" || rank > bestRank {
			best, bestRank = id, rank
		}
	}
	return best
}

func sharedTokens(query Query) int {
	total := 0
	for _, part := range query.sharedParts() {
		total += part.Tokens
	}
	return total
}

// startRequest counts the request in the load of the endpoint. The caller holds mu.
func (b *Balancer) startRequest(c *choice, endpoint *deployment.Endpoint, cost time.Duration) *InFlight {
	state := b.state(endpoint)
	service := c.query.Service
	wait := b.limits.Take(c.now, processKey(endpoint))
	flight := &InFlight{
		Endpoint: endpoint, Cost: cost + wait, Wait: wait, balancer: b, state: state, service: service.Name,
		plain: service.Engine == nil, startedAt: c.now.Add(wait), turnTakenAt: c.now,
	}
	if service.Engine != nil {
		work := c.work(state, endpoint)
		flight.UncachedTokens = work.expected()
		flight.pendingTokens = flight.UncachedTokens
		flight.ahead = state.pendingTokens + state.others.PendingTokens
		flight.work = work
		flight.hadSlot = state.total() < endpoint.Slots
		b.prefillTokens[service.Name] += int64(flight.UncachedTokens)
		state.markCached(c.now, c.query.Prompt)
	}
	state.running++
	b.running[service.Name]++
	state.pendingTokens += flight.pendingTokens
	state.lastUsedAt = c.now
	return flight
}

// state returns the state of the endpoint, which it creates if necessary. The caller holds mu.
func (b *Balancer) state(endpoint *deployment.Endpoint) *endpointState {
	state := b.current(endpoint)
	if state == nil {
		state = &endpointState{startedAtMs: endpoint.StartedAtMs, others: b.otherLoads[fleetstate.EndpointKey(endpoint.ID)]}
		b.states[endpoint.ID] = state
	}
	return state
}

// current returns the state of the endpoint's process, nil if there is none. The caller holds mu.
func (b *Balancer) current(endpoint *deployment.Endpoint) *endpointState {
	if state := b.states[endpoint.ID]; state != nil && state.startedAtMs == endpoint.StartedAtMs {
		return state
	}
	return nil
}

// runningAt returns the number of requests of all instances at the endpoint. The caller holds mu.
func (b *Balancer) runningAt(id string) int {
	if state := b.states[id]; state != nil {
		return state.total()
	}
	return b.otherLoads[fleetstate.EndpointKey(id)].Running
}

// Forget discards the state of an endpoint that restarted under the same ID, because its cache is now empty and the
// recorded failures belong to the previous process. Requests in flight keep a reference to the discarded state.
func (b *Balancer) Forget(endpoint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.states, endpoint)
}

// OwnLoads returns the load that this instance puts on each endpoint, for its reports to the other instances.
func (b *Balancer) OwnLoads(now time.Time) map[uint32]fleetstate.EndpointLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[uint32]fleetstate.EndpointLoad)
	for id, state := range b.states {
		if load := state.own(now); load.Running > 0 || load.Served+load.Failed > negligibleOutcomes {
			loads[fleetstate.EndpointKey(id)] = load
		}
	}
	return loads
}

// negligibleOutcomes is the decayed number of outcomes below which an endpoint without a request in flight is left out of
// the reports.
const negligibleOutcomes = 0.2

// PrefillTokens returns the expected number of prompt tokens that endpoints had to prefill for this instance's requests
// since the start, by service. Each send of a request counts.
func (b *Balancer) PrefillTokens() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.prefillTokens)
}

// Running returns the number of this instance's requests in flight by service.
func (b *Balancer) Running() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.running)
}

// SetOtherLoads replaces the load of all other instances by fleetstate.EndpointKey. known reports whether loads is
// complete for an endpoint; the load of the others is kept. delay is how old the loads are at most.
func (b *Balancer) SetOtherLoads(
	loads map[uint32]fleetstate.EndpointLoad, known func(key uint32) bool, delay time.Duration,
) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.othersDelay = delay
	b.otherLoads = mergeLoads(b.otherLoads, loads, known)
	for id, state := range b.states {
		state.others = b.otherLoads[fleetstate.EndpointKey(id)]
	}
}

// mergeLoads returns loads and those of former for which known returns false.
func mergeLoads(former, loads map[uint32]fleetstate.EndpointLoad, known func(uint32) bool) map[uint32]fleetstate.EndpointLoad {
	merged := maps.Clone(loads)
	if merged == nil {
		merged = make(map[uint32]fleetstate.EndpointLoad)
	}
	for key, load := range former {
		if _, ok := loads[key]; !ok && !known(key) {
			merged[key] = load
		}
	}
	return merged
}

// ServedElsewhere reports whether an endpoint has answered other instances in the last seconds, and mostly so.
func (b *Balancer) ServedElsewhere(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	others := b.otherLoads[fleetstate.EndpointKey(id)]
	return others.Served >= minServedElsewhere && others.Served > others.Failed
}

// minServedElsewhere is the decayed number of answers below which an endpoint may have failed for all instances.
const minServedElsewhere = 1.0

// Sweep deletes expired prompt parts, and the state of endpoints that are not listed in endpoints, have no requests in
// flight and were last used more than idleStateTTL ago. It returns the IDs of the endpoints that are no longer avoided.
func (b *Balancer) Sweep(now time.Time, endpoints map[string]*deployment.Endpoint) (usedAgain []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, state := range b.states {
		ttl := idleStateTTL
		if state.leaving {
			ttl = leavingStateTTL
		}
		if endpoints[id] == nil && state.running == 0 && now.Sub(state.lastUsedAt) > ttl {
			delete(b.states, id)
			continue
		}
		if reason, _ := state.avoidance(now); reason == NotAvoided && state.reported != NotAvoided {
			state.reported = NotAvoided
			usedAgain = append(usedAgain, id)
		}
		for part, lastUse := range state.cachedParts {
			if now.Sub(lastUse) > b.cfg.CacheTTL {
				delete(state.cachedParts, part)
			}
		}
	}
	return usedAgain
}
