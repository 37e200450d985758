package distribution

import (
	"knapweedhoist/catalog"
	"knapweedhoist/objectapi"
)

// FollowerOutput is what a step of the Follower wants done.
type FollowerOutput struct {
	Calls []objectapi.Call
	// Applied is the snapshot to publish, when the revision in force changed.
	Applied *catalog.Snapshot
	Relays  []Relay
	Fetches []Fetch
}
