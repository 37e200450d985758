package teamlimit

import "time"

// peerState holds the last report of another instance.
type peerState struct {
	// boot identifies the process start of the instance; 0 means that no report has arrived.
	boot         uint64
	lastReportAt time.Time
	// used is the last reported Use.Total by team.
	used map[string]float64
}

// Use is one team's use at one instance, as reported to the other instances.
type Use struct {
	Team string
	// Total is the use since the start of the instance, in the limit's unit.
	Total float64
	// Level is the instance's view of the level of the bucket over all instances.
	Level float64
}
