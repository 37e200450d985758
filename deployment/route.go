package deployment

import "time"

// Route maps requests under a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait for its final answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream,
	// within which the answer is on time.
	Objective time.Duration
	// Priority is the route's rank, 0 the highest.
	Priority int
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue at another endpoint after an event.
	Resumable bool
	// Targets has at least one entry.
	Targets []Target
}

// Target is a share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight int
}

// Repeatable reports whether a request that may have run can be sent again from its start.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service returns the target's service for a point in [0, 1).
func (r *Route) Service(point float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := point * float64(total)
	for _, target := range r.Targets {
		left -= float64(target.Weight)
		if left < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
