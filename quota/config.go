package quota

import "time"

// Config holds the parameters of the division of a rate.
type Config struct {
	// TTL is how long a grant holds. Default 10 s.
	TTL time.Duration
	// FloorShare is the part of a limit that is kept back for cut-off members. Default 0.25, 0 to 1.
	FloorShare float64
	// FloorMembers is the number of members over which the floor is divided: the configured data centres, or the most
	// instances that a data centre may have. It must not be less than the actual members.
	FloorMembers int
}

// DefaultConfig returns the parameters of record for the given number of members.
func DefaultConfig(members int) Config {
	return Config{TTL: 10 * time.Second, FloorShare: 0.25, FloorMembers: members}
}

// Floor is the rate that a member may use without a valid grant.
func (c Config) Floor(limit float64) float64 {
	return limit * c.FloorShare / float64(max(1, c.FloorMembers))
}
