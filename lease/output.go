package lease

import "knapweedhoist/platform"

// Output is what a step of the Keeper wants done.
type Output struct {
	Calls  []platform.Call
	Events []Event
}
