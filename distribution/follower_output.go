package distribution

import (
	"knapweedhoist/catalog"
	"knapweedhoist/objectapi"
)

// FollowerOutput holds the calls that the caller must make, the messages that it must send, and the snapshot that was
// applied.
type FollowerOutput struct {
	Calls []objectapi.Call
	// Applied is the snapshot to publish; nil when the revision in force did not change.
	Applied *catalog.Snapshot
	Relays  []Relay
	Fetches []Fetch
}
