package membership

import (
	"time"

	"knapweedhoist/timeline"
)

// LocalState is the state of this instance that its next heartbeat carries.
type LocalState struct {
	// Revision is the configuration revision in force, applied RevisionAge ago.
	Revision    uint64
	RevisionAge time.Duration
	// Stamp is a reading of the hybrid logical clock.
	Stamp timeline.Stamp
}
