package lease

import (
	"time"

	"knapweedhoist/objectapi"
)

// attempt is one write of this incarnation that may take effect.
type attempt struct {
	record Record
	// sentAt is the moment just before the write was sent; a lease is counted from it.
	sentAt time.Time
}

// call is the platform call in flight.
type call struct {
	id   uint64
	op   objectapi.Op
	sent Record
}
