package lease

import "knapweedhoist/objectapi"

// Output has the calls that the caller must make and the events that it must handle after a step of the Keeper.
type Output struct {
	Calls  []objectapi.Call
	Events []Event
}
