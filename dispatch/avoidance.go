package dispatch

import (
	"fmt"
	"maps"
	"time"

	"knapweedhoist/deployment"
)

// Reason is the reason why an endpoint gets no new request of this instance. Repeats and resumed streams count as new.
type Reason uint8

// Reasons not to choose an endpoint.
const (
	// NotAvoided is the zero Reason.
	NotAvoided Reason = iota
	// Leaving means that the endpoint's entry or one of its answers states that it leaves.
	Leaving
	// Paused means that the endpoint has asked this instance to send nothing for a time.
	Paused
	// Crashed means that the endpoint's host refused a connection after an exchange was lost.
	Crashed
)

// String returns the reason for the log.
func (r Reason) String() string {
	switch r {
	case Leaving:
		return "leaving"
	case Paused:
		return "paused"
	case Crashed:
		return "crashed"
	default:
		return "not avoided"
	}
}

const (
	// crashAvoidance is how long an endpoint whose host refused a connection is avoided. An endpoint that has restarted is
	// used at once, see endpointState.startedAtMs.
	crashAvoidance = 2 * time.Second
	// rampTime is the time after a pause in which the load of an endpoint returns, rampStep that in which it may double.
	rampTime, rampStep = time.Second, 100 * time.Millisecond
	// leavingStateTTL replaces idleStateTTL for an endpoint that has stated that it leaves: its entry may be listed again as
	// ready after an outage of the store.
	leavingStateTTL = 10 * time.Minute
)

// PausedError means that no endpoint is eligible and at least one only because of a pause. It wraps ErrNoEndpoint.
type PausedError struct {
	// Wait is the time until the earliest end of a pause.
	Wait time.Duration
}

// Error implements error.
func (e *PausedError) Error() string {
	return fmt.Sprintf("%v, the next one is usable in %v", ErrNoEndpoint, e.Wait)
}

// Unwrap returns ErrNoEndpoint, so that errors.Is matches it.
func (e *PausedError) Unwrap() error { return ErrNoEndpoint }

// avoidance returns the reason why an endpoint with the given state, nil if there is none, is avoided, and until when if its
// end is known.
func avoidance(now time.Time, endpoint *deployment.Endpoint, state *endpointState) (reason Reason, until time.Time) {
	switch {
	case endpoint.Leaving:
		return Leaving, time.Time{}
	case state == nil:
		return NotAvoided, time.Time{}
	default:
		return state.avoidance(now)
	}
}

func (s *endpointState) avoidance(now time.Time) (reason Reason, until time.Time) {
	switch {
	case s.leaving:
		return Leaving, time.Time{}
	case now.Before(s.pausedUntil):
		return Paused, s.pausedUntil
	case now.Before(s.crashedUntil):
		return Crashed, s.crashedUntil
	default:
		return NotAvoided, time.Time{}
	}
}

// ramping reports whether the endpoint has as many requests of this instance as it may get so soon after its pause.
//
// Load pattern: an endpoint that was full asks for a pause, and all instances would send it their load again at the moment
// at which the pause ends.
func (s *endpointState) ramping(now time.Time) bool {
	sincePause := now.Sub(s.pausedUntil)
	if s.pausedUntil.IsZero() || sincePause >= rampTime {
		return false
	}
	return s.running >= 1<<(sincePause/rampStep)
}

// usable reports whether the endpoint belongs to the service of the query, was not tried and is not avoided.
func (c *choice) usable(endpoint *deployment.Endpoint) bool {
	if endpoint.Service != c.query.Service.Name || c.query.Tried[endpoint.ID] {
		return false
	}
	if endpoint.Unconfirmed && c.confirmedOnly() {
		return false
	}
	reason, _ := avoidance(c.now, endpoint, c.balancer.current(endpoint))
	return reason == NotAvoided
}

// eligible reports whether the endpoint is usable and takes a request of this instance now.
func (c *choice) eligible(endpoint *deployment.Endpoint) bool {
	if !c.usable(endpoint) || c.rateLimitWait(endpoint) > 0 {
		return false
	}
	state := c.balancer.current(endpoint)
	return c.ignoreRamps || state == nil || !state.ramping(c.now)
}

// noEndpoint returns the error for a service without eligible endpoints.
func (c *choice) noEndpoint() error {
	var earliest time.Time
	for _, endpoint := range c.query.Endpoints {
		if endpoint.Service != c.query.Service.Name {
			continue
		}
		reason, until := avoidance(c.now, endpoint, c.balancer.current(endpoint))
		if reason == Paused && (earliest.IsZero() || until.Before(earliest)) {
			earliest = until
		}
	}
	if earliest.IsZero() {
		return ErrNoEndpoint
	}
	return &PausedError{Wait: earliest.Sub(c.now)}
}

// RecordLeaving records that the endpoint has stated that it leaves. It returns true the first time.
func (f *InFlight) RecordLeaving() bool {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	first := !f.state.leaving
	f.state.leaving, f.state.reported = true, Leaving
	return first
}

// RecordPause records that the endpoint has asked for no request within the given time. It returns false if a pause that
// ends later is known.
func (f *InFlight) RecordPause(now time.Time, pause time.Duration) bool {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	until := now.Add(pause)
	if !until.After(f.state.pausedUntil) {
		return false
	}
	f.state.pausedUntil, f.state.reported = until, Paused
	return true
}

// RecordCrash records that the endpoint's process has ended. It returns true the first time.
func (f *InFlight) RecordCrash(now time.Time) bool {
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	first := !now.Before(f.state.crashedUntil)
	f.state.crashedUntil = now.Add(crashAvoidance)
	if first {
		f.state.reported = Crashed
	}
	return first
}

// Crashed reports whether the endpoint is avoided because its process has ended.
func (b *Balancer) Crashed(now time.Time, endpoint *deployment.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reason, _ := avoidance(now, endpoint, b.current(endpoint))
	return reason == Crashed
}

// LeavingKnown returns the endpoints with Leaving set for those that have stated in an answer that they leave. It does not
// change endpoints.
func (b *Balancer) LeavingKnown(endpoints map[string]*deployment.Endpoint) map[string]*deployment.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, cloned := endpoints, false
	for id, endpoint := range endpoints {
		if state := b.current(endpoint); state == nil || !state.leaving || endpoint.Leaving {
			continue
		}
		if !cloned {
			known, cloned = maps.Clone(endpoints), true
		}
		leaving := *endpoint
		leaving.Leaving = true
		known[id] = &leaving
	}
	return known
}
