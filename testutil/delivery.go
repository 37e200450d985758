package testutil

import (
	"time"

	"knapweedhoist/objectapi"
)

// Delivery is the result of a call, which is due at the time At for the instance with the id To.
type Delivery struct {
	At   time.Time
	To   string
	Done objectapi.CallResult
}
