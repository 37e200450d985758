package distribution

import "knapweedhoist/objectapi"

// EditorOutput is what a step of the Editor wants done.
type EditorOutput struct {
	Calls   []objectapi.Call
	Results []Result
	// Stored is the document that this instance stored; it goes to Follower.Stored.
	Stored *Stored
}
