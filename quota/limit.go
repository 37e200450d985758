package quota

import "time"

// Limit is the rate limit that a Divider divides among its members.
type Limit struct {
	// Rate is the rate to divide, per second.
	Rate float64
	// FloorRate is the rate from which the members' floors are computed, per second. It must not change with demand,
	// because an unreachable member keeps using the floor of its last grant.
	FloorRate float64
	// GrantsUntil is the latest expiry of the grants; with the zero time only the TTL bounds it.
	GrantsUntil time.Time
}

// FixedLimit returns the Limit for a configured rate, per second.
func FixedLimit(rate float64) Limit { return Limit{Rate: rate, FloorRate: rate} }

// Share returns the limit that a data centre's owner divides among its instances: the grant, or its floor after the
// expiry.
func (g Grant) Share(now time.Time) Limit {
	if now.Before(g.Until) {
		return Limit{Rate: g.Rate, FloorRate: g.Floor, GrantsUntil: g.Until}
	}
	return Limit{Rate: g.Floor, FloorRate: g.Floor}
}
