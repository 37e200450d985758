package distribution

import "time"

// Status is the state of a Follower for operators.
type Status struct {
	Revision uint64
	// AppliedAt is when this instance applied the revision.
	AppliedAt time.Time
	Watching  bool
	// CutOff is set when the last call to the platform had no answer. Since is the time of the last answer, or of the first
	// Tick when there was none.
	CutOff bool
	Since  time.Time
	// Stale counts documents and relays that were dropped because they were not newer than the revision in force. Refused
	// counts documents that could not be applied.
	Stale, Refused int
	// LastRefusal is the error of the last document that could not be applied.
	LastRefusal error
}
