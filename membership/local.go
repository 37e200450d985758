package membership

import (
	"time"

	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

// Local is what this instance says of itself in its next heartbeat.
type Local struct {
	// Revision is the configuration revision in force, applied RevisionAge ago.
	Revision    uint64
	RevisionAge time.Duration
	// Usage is the teams' use since the last heartbeat.
	Usage []*wire.TeamUsage
	// Stamp is a reading of the hybrid logical clock.
	Stamp timeline.Stamp
}
