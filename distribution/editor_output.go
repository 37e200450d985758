package distribution

import "knapweedhoist/platform"

// EditorOutput is what a step of the Editor wants done.
type EditorOutput struct {
	Calls   []platform.Call
	Results []Result
	// Stored is the document that this instance stored; it goes to Follower.Stored.
	Stored *Stored
}
