package dispatch

import (
	"errors"
	"fmt"
	"time"

	"knapweedhoist/deployment"
	"knapweedhoist/endpointlimit"
	"knapweedhoist/quarantine"
)

// RateLimitedError means that the endpoints that are left are at their rate limits and that the request would be late. It
// wraps ErrNoEndpoint.
type RateLimitedError struct {
	// Wait is the time until one of them takes a further request of this instance.
	Wait time.Duration
}

// Error implements error.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%v within its rate limit, the next one in %v", ErrNoEndpoint, e.Wait)
}

// Unwrap returns ErrNoEndpoint, so that errors.Is matches it.
func (e *RateLimitedError) Unwrap() error { return ErrNoEndpoint }

// processKey returns the key of the endpoint's process, which differs from that of an earlier process with the same ID.
func processKey(endpoint *deployment.Endpoint) uint64 {
	return quarantine.ProcessKey(endpoint.ID, endpoint.StartedAtMs)
}

// Limits returns the rate limits of the endpoints, which Choose obeys.
func (b *Balancer) Limits() *endpointlimit.Limits { return b.limits }

// RecordRateLimit records what the endpoint has stated about its rate limit in the answer, read now. It returns the change, if there is one.
func (f *InFlight) RecordRateLimit(now time.Time, statement endpointlimit.Statement) (endpointlimit.Change, bool) {
	return f.balancer.limits.Observe(now, f.startedAt, processKey(f.Endpoint), statement)
}

// rateLimitWait returns the time until the rate limit of the endpoint allows a request of this instance.
func (c *choice) rateLimitWait(endpoint *deployment.Endpoint) time.Duration {
	if c.balancer.limits.InForce() == 0 {
		return 0
	}
	return c.balancer.limits.Wait(c.now, processKey(endpoint))
}

// earliest returns the endpoint at its rate limit that takes a further request first, nil if there is none, and the time
// until then.
func (c *choice) earliest() (endpoint *deployment.Endpoint, wait time.Duration) {
	for _, candidate := range c.query.Endpoints {
		if !c.usable(candidate) {
			continue
		}
		candidateWait := c.rateLimitWait(candidate)
		if endpoint == nil || candidateWait < wait || candidateWait == wait && candidate.ID < endpoint.ID {
			endpoint, wait = candidate, candidateWait
		}
	}
	return endpoint, wait
}

// chooseLater returns the endpoint that takes the request first, or the error that a request gets which would be late. A request
// of a lower rank counts its wait several times, which leaves the allowance of the near future to those of a higher one.
//
// Load pattern: all endpoints of a service name limits below the demand. Requests that wait until their deadline would be
// served late or not at all; those that cannot be on time are refused at once instead.
func (c *choice) chooseLater() (*deployment.Endpoint, error) {
	endpoint, wait := c.earliest()
	if endpoint == nil {
		return nil, c.noEndpoint()
	}
	allowed := min(c.query.Remaining, c.query.Objective)
	if c.query.Objective <= 0 {
		allowed = c.query.Remaining / 2
	}
	weight := time.Duration(min(max(c.query.Rank, 0), ranks-1) + 1)
	due := weight * wait
	if c.engine.Ended >= minEnded {
		due += c.serviceTime(c.balancer.state(endpoint), endpoint)
	}
	if due > allowed {
		var paused *PausedError
		if errors.As(c.noEndpoint(), &paused) && paused.Wait < wait {
			return nil, paused
		}
		return nil, &RateLimitedError{Wait: wait}
	}
	return endpoint, nil
}

// RetakeTurn returns the time until the request may be sent if the endpoint's rate limit has changed since the request took
// its turn, which then counts no more; otherwise 0.
func (f *InFlight) RetakeTurn(now time.Time) time.Duration {
	limits, process := f.balancer.limits, processKey(f.Endpoint)
	if !limits.ChangedSince(f.turnTakenAt, process) {
		return 0
	}
	f.turnTakenAt = now
	return limits.Take(now, process)
}

// Usable reports whether the chosen endpoint can still get the request after a wait: it is listed, and no reason to avoid it is
// known.
func (f *InFlight) Usable(now time.Time, endpoints map[string]*deployment.Endpoint) bool {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	listed := endpoints[f.Endpoint.ID]
	if listed == nil || listed.StartedAtMs != f.Endpoint.StartedAtMs {
		return false
	}
	reason, _ := avoidance(now, listed, f.state)
	return reason == NotAvoided
}
