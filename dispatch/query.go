package dispatch

import (
	"time"

	"knapweedhoist/deployment"
)

// Part is a run of consecutive prompt tokens, the unit in which cached prefixes are tracked.
type Part struct {
	// ID is the hash of the part and all parts before it, because a cached part is usable only behind the same parts.
	ID uint64
	// Content identifies the part whatever comes before it.
	Content uint64
	// Tokens is the length of the part.
	Tokens int
}

// Query describes a request that needs an endpoint.
type Query struct {
	Service *deployment.Service
	// Endpoints holds the candidates by ID. Endpoints of other services are ignored.
	Endpoints map[string]*deployment.Endpoint
	// Prompt lists the parts in order. The last part is specific to this request or its session.
	Prompt []Part
	// Tokens is the length of the whole prompt.
	Tokens int
	// Objective is the latency objective, 0 if the request is never refused for overload. Remaining is the time until the
	// deadline.
	Objective, Remaining time.Duration
	// Rank is the rank of the request at engines, 0 the highest.
	Rank int
	// Seed is a number that differs between requests, see Balancer.Choose.
	Seed uint64
	// Tried holds the IDs of the endpoints that were already chosen for this request.
	Tried map[string]bool
}

// sharedParts returns the prefix of the prompt that other requests can have in common with this one.
func (q Query) sharedParts() []Part { return SharedParts(q.Prompt) }

// SharedParts returns the parts of a prompt that other requests can have in common with it: all but the last one.
func SharedParts(prompt []Part) []Part {
	if len(prompt) < 2 {
		return nil
	}
	return prompt[:len(prompt)-1]
}
