package membership

import (
	"time"

	"knapweedhoist/timeline"
)

// Local is what this instance says of itself in its next heartbeat.
type Local struct {
	// Revision is the configuration revision in force, applied RevisionAge ago.
	Revision    uint64
	RevisionAge time.Duration
	// Stamp is a reading of the hybrid logical clock.
	Stamp timeline.Stamp
}
