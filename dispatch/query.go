package dispatch

import "knapweedhoist/deployment"

// Part is one part of a prompt.
type Part struct {
	// ID is the hash of the part and all parts before it: a cached part counts only behind the same parts.
	ID uint64
	// Tokens is the length of the part.
	Tokens int
}

// Query describes a request that needs an endpoint.
type Query struct {
	Service *deployment.Service
	// Endpoints are the candidates by ID, of any service.
	Endpoints map[string]*deployment.Endpoint
	// Prompt lists the parts in order; the last belongs to this request or its session alone.
	Prompt []Part
	// Tokens is the length of the whole prompt.
	Tokens int
	// Tried has the endpoints that this request was sent to already.
	Tried map[string]bool
}

// shared returns the parts that other requests have too.
func (q Query) shared() []Part {
	if len(q.Prompt) < 2 {
		return nil
	}
	return q.Prompt[:len(q.Prompt)-1]
}
