package teamlimit

import "time"

// peerState is what is known of another instance.
type peerState struct {
	// boot tells starts of the same instance apart; 0 before the first report.
	boot    uint64
	heardAt time.Time
	// used is its reported use by team.
	used map[string]float64
}

// Use is one team's use at one instance, for the other instances.
type Use struct {
	Team string
	// Total is the use since the start of the instance.
	Total float64
	// Level is the instance's view of the bucket over all instances.
	Level float64
}
