package claim

import (
	"time"

	"knapweedhoist/objectapi"
)

// entry is the in-memory state of one key. Stored answers are only on the platform. An owner holds one entry for each
// key claimed within the retention, so the fields are small and ordered without padding.
type entry struct {
	body      Hash
	requestID string
	// grantedTo is the id of the request to which this instance granted the claim, "" if none. Only the invariant checks
	// read it.
	grantedTo string
	// pending is the operation that will change the entry, nil if there is none.
	pending *op
	// slot is the number of the slot that holds the last record of the key.
	slot        uint64
	expiryMs    int64
	retentionMs int64
	status      int16
	state       State
	kept        bool
	// durable reports whether the platform has confirmed the record that set state.
	durable bool
	// endPending reports whether the record of a release or an end is queued or being written.
	endPending bool
}

// expired reports whether the expiry of the entry is more than margin ago.
func (e *entry) expired(now time.Time, margin time.Duration) bool {
	return now.UnixMilli() > e.expiryMs+margin.Milliseconds()
}

// slotInfo describes a full or sealed slot before the tail. expiry is the latest expiry of its records; keys holds the
// distinct keys of its records.
type slotInfo struct {
	number  uint64
	version objectapi.Version
	expiry  time.Time
	keys    []Hash
}

// op is a log operation: a record that is queued or being written, with the claim requests and finishes that wait for it.
type op struct {
	record Record
	entry  *entry
	// previous is the released or expired entry that a claim replaces, nil if there is none.
	previous *entry
	// requests are the claim requests to answer, finishRefs the Refs of the finishes to acknowledge.
	requests   []Request
	finishRefs []uint64
	// writeStarted reports whether a write with the record has started. The record may be on the platform from then on.
	writeStarted bool
}
