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
	wait := c.slotWait(state.total(), endpoint.Slots)
	if wait == 0 || c.query.Objective <= 0 || c.engine.Ended < minEnded {
		return nil
	}
	// Requests of a higher rank start before those of a lower one that came earlier.
	wait = wait * time.Duration(min(c.query.Rank, ranks-1)+1) / ranks
	start := time.Duration(float64(wait+c.serviceTime(state, endpoint)) * state.slowdown(c.now))
	if start <= c.query.Objective && start <= c.query.Remaining {
		return nil
	}
	return &OverloadedError{Wait: wait}
}

// serviceTime returns the expected time from the start of the request at the endpoint to its first token or answer.
func (c *choice) serviceTime(state *endpointState, endpoint *deployment.Endpoint) time.Duration {
	if c.query.Service.Engine == nil {
		return c.engine.Residence
	}
	return c.engine.TimeToFirstToken(float64(c.work(state, endpoint).expected()))
}
