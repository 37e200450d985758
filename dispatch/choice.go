package dispatch

import (
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/enginemodel"
)

// choice is one choice of an endpoint.
type choice struct {
	balancer *Balancer
	now      time.Time
	query    Query
	// ignoreRamps is set if all endpoints that are not avoided have just ended a pause.
	ignoreRamps bool
	// confirmed holds the result of confirmedCanServe once it was needed.
	confirmed struct{ known, canServe bool }
	// preferred is the ID of the endpoint that preferredEndpoint returned.
	preferred string
	// engine is the estimated speed of the service's endpoints.
	engine enginemodel.Engine
	// preferredFull is set while the preferred endpoint has no free slot.
	preferredFull bool
	// sharedTokens is the length of the shared parts of the prompt.
	sharedTokens int
}

// work is what an engine has to prefill for a request.
type work struct {
	// known is the number of tokens that it has to prefill in any case, prefix that of the shared tokens that it may have in
	// its cache because of another instance's request. missShare is the probability that it has not.
	known, prefix int
	missShare     float64
}

// expected returns the expected number of tokens.
func (w work) expected() int { return w.known + int(w.missShare*float64(w.prefix)) }

// cost returns the estimated latency of the request at the endpoint, plus penalties.
func (c *choice) cost(endpoint *deployment.Endpoint) time.Duration {
	cfg, state := c.balancer.cfg, c.balancer.state(endpoint)
	cost := state.failurePenalty(c.now, cfg)
	if endpoint.DataCentre != cfg.DataCentre {
		cost += cfg.CrossDataCentreCost
	}
	if c.query.Service.Engine == nil {
		return cost + c.plainCost(state, endpoint)
	}
	return cost + c.engineCost(state, endpoint)
}

// plainCost returns the expected queueing and service time of a request of a plain service. Its last term prefers the
// endpoint with the lower utilisation among those with free slots.
func (c *choice) plainCost(state *endpointState, endpoint *deployment.Endpoint) time.Duration {
	running := state.total()
	serviceTimes := 1 + float64(running)/float64(4*endpoint.Slots)
	busy := time.Duration(float64(c.engine.Residence)*serviceTimes) + c.slotWait(running, endpoint.Slots)
	return time.Duration(float64(busy) * state.slowdown(c.now))
}

// engineCost returns the expected time to the first token. The prefill time of a
// shared prefix is multiplied by RepeatedPrefillWeight when another engine is preferred
// for that prefix and can start the request, and this one has nothing beyond the prefix in its cache.
func (c *choice) engineCost(state *endpointState, endpoint *deployment.Endpoint) time.Duration {
	cfg, work := c.balancer.cfg, c.work(state, endpoint)
	tokens := float64(work.expected())
	uncached := work.known + work.prefix
	if c.sharedTokens > 0 && endpoint.ID != c.preferred && !c.preferredFull && uncached >= c.query.Tokens-c.sharedTokens {
		cached := c.query.Tokens - uncached // tokens in the prefix cache of this endpoint
		tokens += (cfg.RepeatedPrefillWeight - 1) * float64(max(c.sharedTokens-cached, 0))
	}
	queued := float64(state.pendingTokens + state.others.PendingTokens)
	running := state.total()
	cost := c.engine.TimeToFirstToken(queued+tokens) - c.engine.Overhead + time.Duration(running)*cfg.RunningRequestCost
	cost += c.slotWait(running, endpoint.Slots)
	return time.Duration(float64(cost)*state.slowdown(c.now)) + endpoint.WarmUpRemaining/4
}

// slotWait returns the expected wait for one of the slots of an endpoint with the given number of requests.
func (c *choice) slotWait(running, slots int) time.Duration {
	if running < slots || slots <= 0 {
		return 0
	}
	return time.Duration(running-slots+1) * c.engine.Residence / time.Duration(slots)
}

// work returns what the endpoint has to prefill.
func (c *choice) work(state *endpointState, endpoint *deployment.Endpoint) work {
	uncached := state.uncachedTokens(c.now, c.query, c.balancer.cfg.CacheTTL)
	specific := c.query.Tokens - c.sharedTokens
	if endpoint.ID != c.preferred || uncached <= specific {
		return work{known: uncached}
	}
	return work{known: specific, prefix: uncached - specific, missShare: c.engine.MissShare}
}
