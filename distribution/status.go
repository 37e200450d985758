package distribution

import "time"

// Status describes the Follower for operators.
type Status struct {
	Revision uint64
	// AppliedAt is when the revision was applied here.
	AppliedAt time.Time
	Watching  bool
	// CutOff: the last call to the platform had no answer; Since is the time of the last answer, or of the start.
	CutOff bool
	Since  time.Time
	// Stale counts older or equal documents that were dropped; Refused those that could not be applied.
	Stale, Refused int
	// LastRefusal is the reason of the last refusal.
	LastRefusal error
}
