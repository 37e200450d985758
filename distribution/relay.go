package distribution

import (
	"knapweedhoist/catalog"
	"knapweedhoist/objectapi"
)

// Relay brings a new revision to a peer as the changes that lead to it. A whole document would exceed a watcher's
// control budget: 1,400 changes a day of 100 KB to 59 peers are 96 KB a second, changes of 1 KB are 1 KB a second.
type Relay struct {
	// To is the peer.
	To       string
	Revision uint64
	Version  objectapi.Version
	// Sum is the xxh3 of the encoded document at Revision.
	Sum uint64
	// Changes end at Revision, without a gap.
	Changes []catalog.Change
}

// Fetch asks the peer To for its document when it is newer than Revision.
type Fetch struct {
	To       string
	Revision uint64
}
