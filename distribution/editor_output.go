package distribution

import "knapweedhoist/objectapi"

// EditorOutput holds the calls that the caller must make and the edits that ended.
type EditorOutput struct {
	Calls   []objectapi.Call
	Results []Result
	// Stored is the document that this instance has stored, or nil; the caller passes it to Follower.ApplyStored.
	Stored *StoredDocument
}
