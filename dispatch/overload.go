package dispatch

import (
	"errors"
	"fmt"
	"time"

	"knapweedhoist/deployment"
)

// ErrOverloaded means that every endpoint is full and the request would start too late. An OverloadedError wraps it.
var ErrOverloaded = errors.New("dispatch: every endpoint of the service is full")

// OverloadedError states how long a request would have waited for an endpoint.
type OverloadedError struct {
	// Wait is the expected wait for a slot of the endpoint with the lowest cost.
	Wait time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("%v, expected wait %v", ErrOverloaded, e.Wait)
}

// Unwrap returns ErrOverloaded, so that errors.Is matches it.
func (e *OverloadedError) Unwrap() error { return ErrOverloaded }

// ranks is the number of ranks of requests that engines distinguish here: requests of a higher rank are started first.
const ranks = 3

// minEnded is the number of ended requests of a service before which no request is refused: the wait is not known.
const minEnded = 30

// checkOverload returns an OverloadedError if the chosen endpoint is full and the request would get its first token, or
// answer, only after its objective or its deadline.
//
// Load pattern: demand far above the capacity for seconds. Endpoints start waiting requests in the order of their arrival,
// so that a queue that is as long as the objective makes every answer late. Requests that would be late are refused
// instead, as long as the endpoints are full, and the others are on time.
func (c *choice) checkOverload(endpoint *deployment.Endpoint) error {
	state := c.balancer.state(endpoint)
	if late := c.prefillLate(state, endpoint); late > 0 {
		return &OverloadedError{Wait: late}
	}
	wait := c.slotWait(state.total(), endpoint.Slots)
	if wait == 0 || c.query.Objective <= 0 || c.engine.Ended < minEnded {
		return nil
	}
	wait = time.Duration(c.byRank(int(wait)))
	start := time.Duration(float64(wait+c.serviceTime(state, endpoint)) * state.slowdown(c.now))
	if start <= c.query.Objective && start <= c.query.Remaining {
		return nil
	}
	return &OverloadedError{Wait: wait}
}

// latestStart is the part of the remaining time within which an engine must begin its answer, so that there is time for the rest.
const latestStart = 0.5

// prefillLate returns how much too late an engine with the lowest cost would begin its answer, because of the prompts that it
// has to prefill before, or 0.
//
// Load pattern: most engines of a service fail or name a rate limit, and the prompts for all of them reach the others, which have
// free slots and more prompts than they can prefill. Requests would reach their deadline there, and delay those behind them.
func (c *choice) prefillLate(state *endpointState, endpoint *deployment.Endpoint) time.Duration {
	if c.query.Service.Engine == nil || c.query.Objective <= 0 || c.engine.Ended < minEnded {
		return 0
	}
	ahead := c.byRank(state.pendingTokens + state.others.PendingTokens)
	start := c.engine.TimeToFirstToken(float64(ahead + c.work(state, endpoint).expected()))
	return max(start-time.Duration(latestStart*float64(c.query.Remaining)), 0)
}

// byRank returns the part of a queue that the request waits for: requests of a higher rank start before those of a lower one that
// came earlier.
func (c *choice) byRank(queue int) int { return queue * (min(c.query.Rank, ranks-1) + 1) / ranks }

// serviceTime returns the expected time from the start of the request at the endpoint to its first token or answer.
func (c *choice) serviceTime(state *endpointState, endpoint *deployment.Endpoint) time.Duration {
	if c.query.Service.Engine == nil {
		return c.engine.Residence
	}
	return c.engine.TimeToFirstToken(float64(c.work(state, endpoint).expected()))
}
