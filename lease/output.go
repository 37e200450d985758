package lease

import "knapweedhoist/objectapi"

// Output is what a step of the Keeper wants done.
type Output struct {
	Calls  []objectapi.Call
	Events []Event
}
