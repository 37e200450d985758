package quota

import "time"

// Limit is what a Divider divides.
type Limit struct {
	// Rate is per second.
	Rate float64
	// FloorRate is the rate from which the members' floors follow. It must not change with demand, because a cut-off
	// member keeps the floor that it was told.
	FloorRate float64
	// Until ends all grants of the division; the zero time means that only the TTL does.
	Until time.Time
}

// FixedLimit is a limit from the configuration.
func FixedLimit(rate float64) Limit { return Limit{Rate: rate, FloorRate: rate} }

// Share is the limit that a data centre's owner divides over its instances: its grant, or the floor after its end.
func (g Grant) Share(now time.Time) Limit {
	if now.Before(g.Until) {
		return Limit{Rate: g.Rate, FloorRate: g.Floor, Until: g.Until}
	}
	return Limit{Rate: g.Floor, FloorRate: g.Floor}
}
