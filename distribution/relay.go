package distribution

import (
	"knapweedhoist/catalog"
	"knapweedhoist/objectapi"
)

// Relay is a message that updates a peer to a new revision by the changes since an earlier one. Whole documents would
// exceed the bandwidth budget of a watcher for control messages: 1,400 changes a day as documents of 100 KB to 59 peers are
// 96 KB a second; as changes of 1 KB they are 1 KB a second.
type Relay struct {
	// To is the incarnation of the peer that receives the message.
	To       string
	Revision uint64
	Version  objectapi.Version
	// Checksum is the xxh3 checksum of the encoded document at Revision.
	Checksum uint64
	// Changes have consecutive revisions; the last one is Revision.
	Changes []catalog.Change
}

// Fetch is a message that asks the peer To for its document when that is newer than Revision.
type Fetch struct {
	To       string
	Revision uint64
}
