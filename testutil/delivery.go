package testutil

import (
	"time"

	"knapweedhoist/objectapi"
)

// Delivery is the result of a call, which is due at the time At. To is the caller that Submit was given.
type Delivery struct {
	At   time.Time
	To   string
	Done objectapi.CallResult
}
