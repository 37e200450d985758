package claim

import (
	"time"

	"knapweedhoist/platform"
)

// entry is the state of one key in memory. Answers stay on the platform.
type entry struct {
	body      Hash
	requestID string
	state     State
	status    int
	kept      bool
	// slot holds the last record of the key.
	slot      uint64
	expiry    time.Time
	retention time.Duration
	// durable: the platform has confirmed the record of state.
	durable bool
	// closing: a release or an end is on its way to the log.
	closing bool
	// pending is the operation that changes the entry, if any.
	pending *op
	// granted: a claim was answered with Granted since its record; for the assertions.
	granted string
}

func (e *entry) expired(now time.Time, margin time.Duration) bool {
	return now.After(e.expiry.Add(margin))
}

// slotInfo is what is kept in memory of a slot that is full or sealed.
type slotInfo struct {
	number  uint64
	version platform.Version
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
