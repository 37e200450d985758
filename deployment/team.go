package deployment

// Team is a user of the services.
type Team struct {
	Name string
	Keys []string
	// Priority takes precedence over that of the route; -1 when the team has none.
	Priority int
	Limit    Limit
}

// Limit bounds a team's work over all entry instances together.
type Limit struct {
	// Rate is in units a second, Burst in units; a Rate of 0 is no limit.
	Rate, Burst float64
	// ByTokens counts tokens instead of requests.
	ByTokens bool
	// PlainTokens is the cost of a request that does not say how many tokens it has.
	PlainTokens float64
}

// Cost returns the units that a request takes. tokens is 0 for a request that does not say.
func (l Limit) Cost(tokens int) float64 {
	switch {
	case !l.ByTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return l.PlainTokens
	}
}
