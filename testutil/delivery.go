package testutil

import (
	"time"

	"knapweedhoist/objectapi"
)

// Delivery is the completion of a call, which the Driver delivers at the time At to the instance with the id To.
type Delivery struct {
	At   time.Time
	To   string
	Done objectapi.Done
}
