package quota

import "time"

// Config holds the parameters of a Divider.
type Config struct {
	// TTL is how long a grant is valid. Default 10 s.
	TTL time.Duration
	// FloorShare is the fraction of a limit that is reserved for unreachable members. Default 0.25, 0 to 1.
	FloorShare float64
	// FloorMembers is the number of members among which the reserved fraction is divided: the number of known data
	// centres, or the largest number of instances that a data centre can have. It must not be less than the actual number
	// of members.
	FloorMembers int
}

// DefaultConfig returns the default parameters for the given number of members.
func DefaultConfig(members int) Config {
	return Config{TTL: 10 * time.Second, FloorShare: 0.25, FloorMembers: members}
}

// Floor returns the rate, per second, that a member may use without a valid grant.
func (c Config) Floor(limit float64) float64 {
	return limit * c.FloorShare / float64(max(1, c.FloorMembers))
}
