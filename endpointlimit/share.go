package endpointlimit

import "time"

// Share is the part of all limits that belongs to one instance.
type Share struct {
	// Instances is the number of instances, and Rank the position of this one among them, from 0.
	Instances, Rank int
	// FleetTime is the time of day that all instances estimate, at the moment at which the Share is set.
	FleetTime time.Time
}

// AssumedInstances is the number of instances to assume while it is not known.
const AssumedInstances = 360
