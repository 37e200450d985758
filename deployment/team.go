package deployment

// Team is a group of callers with common API keys, priority and limit.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route; -1 if the team has none.
	Priority int
	Limit    Limit
}

// Limit is the rate limit of a team over all entry instances together.
type Limit struct {
	// Rate is in units per second, Burst in units; a Rate of 0 sets no limit.
	Rate, Burst float64
	// ByTokens sets the unit to tokens instead of requests.
	ByTokens bool
	// DefaultTokens is the cost of a request that does not state its number of tokens.
	DefaultTokens float64
}

// Cost returns the units that a request costs. tokens is 0 for a request that does not state its number of tokens.
func (l Limit) Cost(tokens int) float64 {
	switch {
	case !l.ByTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return l.DefaultTokens
	}
}
