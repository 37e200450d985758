package lease

import (
	"time"

	"knapweedhoist/objectapi"
)

// pendingWrite is a write of this incarnation that has taken effect or may still do so.
type pendingWrite struct {
	record Record
	// sentAt is the time just before the write was sent, from which the lease duration counts.
	sentAt time.Time
}

// pendingCall is the object API call in flight.
type pendingCall struct {
	id     uint64
	op     objectapi.Op
	record Record
}
