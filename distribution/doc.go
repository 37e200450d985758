// Package distribution changes the shared configuration document and brings
// accepted revisions to all instances.
//
// The Editor applies one change at a time to the stored document by conditional
// update. The Follower keeps the revision in force: two watchers in each data
// centre watch the object and relay changes to their peers; heartbeats carry
// the revision, so that an instance that missed a relay fetches the document.
package distribution

import (
	"time"

	"knapweedhoist/objectapi"
)

// ObjectName is the name of the document's object, of kind objectapi.KindConfig.
const ObjectName = "current"

const (
	// watchWait is the longest wait of one watch call.
	watchWait = 30 * time.Second
	// retryAfter is the pause after a failed call of a watcher or an editor.
	retryAfter = time.Second
	// pollInterval is the period at which instances that do not watch read the document. It only matters when all
	// watchers and heartbeats of a data centre fail: 360 instances make 1.2 reads a second.
	pollInterval = 5 * time.Minute
	// pollRetry is the pause of such an instance after a failed read.
	pollRetry = 30 * time.Second
	// fetchDelay lets the relay arrive before a heartbeat that was faster causes a fetch of the whole document.
	fetchDelay = 300 * time.Millisecond
	// fetchTimeout ends the wait for a peer, so that another one can be asked.
	fetchTimeout = 2 * time.Second
	maxEdits     = 64
)

// Stored is a document as the platform has it.
type Stored struct {
	Revision uint64
	// Version is the object's version.
	Version objectapi.Version
	// Value is the document as JSON.
	Value []byte
}
