package distribution

import "time"

// Status is the state of a Follower for operators.
type Status struct {
	Revision uint64
	// AppliedAt is when this instance applied the revision.
	AppliedAt time.Time
	Watching  bool
	// PlatformUnavailable is set when the last call to the platform had no answer. LastContact is the time of the last
	// answer, or of the first Tick when there was none.
	PlatformUnavailable bool
	LastContact         time.Time
	// Stale counts documents and relays that were dropped because they were not newer than the revision in force. Rejected
	// counts documents that could not be applied.
	Stale, Rejected int
	// LastRejection is the error of the last document that could not be applied.
	LastRejection error
}
