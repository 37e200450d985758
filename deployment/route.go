package deployment

import "time"

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from a request to its final answer; 0 if the route has no timeout.
	Timeout time.Duration
	// Objective is the latency objective: the time to the answer, or to the first
	// event of a stream, within which the answer is on time.
	Objective time.Duration
	// PauseObjective is the longest time between two events of a stream within which it is on time; 0 if not stated.
	PauseObjective time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the sends of one request. Sends that did not reach an endpoint do not count.
	MaxAttempts int
	// Public reports that requests need no API key.
	Public bool
	// Resumable reports that a stream may continue at another endpoint after an event.
	Resumable bool
	// Targets has at least one entry.
	Targets []Target
}

// Target assigns a share of a route's requests to a service.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight int
}

// Repeatable reports whether a request that may have run can be sent again from the start.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// LeadsTo reports whether SelectService returns the service for some point.
func (r *Route) LeadsTo(service string) bool {
	totalWeight := 0
	for _, target := range r.Targets {
		if target.Service == service && target.Weight > 0 {
			return true
		}
		totalWeight += target.Weight
	}
	return totalWeight == 0 && r.Targets[len(r.Targets)-1].Service == service
}

// SelectService returns the service of the target that a point in [0, 1) selects, in proportion to the weights.
func (r *Route) SelectService(point float64) string {
	totalWeight := 0
	for _, target := range r.Targets {
		totalWeight += target.Weight
	}
	remaining := point * float64(totalWeight)
	for _, target := range r.Targets {
		remaining -= float64(target.Weight)
		if remaining < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
