package claim

import (
	"time"

	"knapweedhoist/objectapi"
)

// entry is the state of one key in memory. Answers stay on the platform. An owner keeps one for each key of the
// retention, so the fields are small and in an order without gaps.
type entry struct {
	body      Hash
	requestID string
	// granted: the request that a claim was answered with Granted for since its record; for the assertions.
	granted string
	// pending is the operation that changes the entry, if any.
	pending *op
	// slot holds the last record of the key.
	slot        uint64
	expiryMs    int64
	retentionMs int64
	status      int16
	state       State
	kept        bool
	// durable: the platform has confirmed the record of state.
	durable bool
	// closing: a release or an end is on its way to the log.
	closing bool
}

func (e *entry) expired(now time.Time, margin time.Duration) bool {
	return now.UnixMilli() > e.expiryMs+margin.Milliseconds()
}

// slotInfo is what is kept in memory of a slot that is full or sealed.
type slotInfo struct {
	number  uint64
	version objectapi.Version
	expiry  time.Time
	keys    []Hash
}

// op is a record on its way to the log, with those who wait for it.
type op struct {
	record Record
	entry  *entry
	// previous is the entry that a claim replaced: released or expired.
	previous *entry
	asks     []Ask
	acks     []uint64
	inFlight bool
}
