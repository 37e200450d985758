package testutil

import (
	"time"

	"knapweedhoist/objectapi"
)

// Delivery is a reply that is due to the instance To.
type Delivery struct {
	At   time.Time
	To   string
	Done objectapi.Done
}
