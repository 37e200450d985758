// Package distribution changes the shared configuration document and distributes
// accepted revisions to all instances.
//
// The Editor applies one edit at a time to the stored document by conditional
// update. The Follower keeps the document in force at one instance: two watchers
// in each data centre watch the object and relay changes to their peers;
// heartbeats carry the revision, so that an instance that missed a relay fetches
// the document from a peer.
//
// Both are state machines without goroutines, timers or I/O. The control
// goroutine owns them, makes the calls and sends the messages in their outputs and
// passes the results back.
package distribution

import (
	"time"

	"knapweedhoist/objectapi"
)

// ObjectName is the name of the object that stores the document; its kind is objectapi.KindConfig.
const ObjectName = "current"

const (
	// maxWatchWait is how long the platform may hold one watch call open.
	maxWatchWait = 30 * time.Second
	// retryDelay is the delay before a watcher or an editor retries a failed call.
	retryDelay = time.Second
	// pollInterval is the average interval at which an instance that is not a watcher reads the document. These reads are
	// needed only when all watchers and heartbeats of a data centre fail. 360 instances together make 1.2 reads a second.
	pollInterval = 5 * time.Minute
	// pollRetryDelay is the delay before an instance that is not a watcher reads again while the platform is unavailable
	// or no document is in force.
	pollRetryDelay = 30 * time.Second
	// fetchDelay is the time between the first heartbeat with a newer revision and the fetch of the whole document. It lets
	// a relay that is slower than the heartbeat arrive first.
	fetchDelay = 300 * time.Millisecond
	// fetchTimeout is how long a peer may take to answer a fetch before another peer can be asked.
	fetchTimeout = 2 * time.Second
	// maxQueuedEdits bounds the edits that wait; a further one ends with Unavailable at once.
	maxQueuedEdits = 64
)

// StoredDocument is an encoded document with the version of its object.
type StoredDocument struct {
	Revision uint64
	// Version is the version of the stored object.
	Version objectapi.Version
	// Value is the document encoded as JSON.
	Value []byte
}
