package claim

import (
	"math/rand"
	"time"

	"knapweedhoist/invariant"
	"knapweedhoist/timeline"
)

// Limits and defaults.
const (
	// DefaultShards is the number of shards of a deployment. It must not change while claims are stored, because it
	// determines the shard of a key.
	DefaultShards = 32
	// MaxSlotBytes bounds the value of a slot object.
	MaxSlotBytes = 4 << 10
	// MaxAnswerBytes bounds an answer that is stored in a record.
	MaxAnswerBytes = 2 << 10
	// MaxContentTypeBytes bounds the content type of a stored answer.
	MaxContentTypeBytes = 128
	// MaxRequestIDBytes bounds a request id.
	MaxRequestIDBytes = 96
	// DefaultRetention is the retention of a claim request that sets none.
	DefaultRetention = 24 * time.Hour

	defaultWriteInterval = 250 * time.Millisecond // 4 writes per second
	defaultExpiryMargin  = 10 * time.Minute
	defaultMaxPending    = 4096
	// maxRequestDeadline bounds how far the deadline of a claim request can extend the expiry of its claim.
	maxRequestDeadline = time.Hour
	// backoffBase is the mean back-off after the first lost ownership or takeover. The mean doubles with each
	// further one in a row, up to backoffMax.
	backoffBase = time.Second
	backoffMax  = 30 * time.Second
	// backoffResetAfter is how long an ownership must last to reset the back-off.
	backoffResetAfter = time.Minute
	sweepInterval     = time.Second
	// readPageSlots is the page size of a takeover's reads: 128 slots have at most 512 KiB.
	readPageSlots = 128
	// maxAnswerReads bounds the reads of stored answers that are in progress at the same time.
	maxAnswerReads = 16
)

// Config configures the Shard of one shard at one instance.
type Config struct {
	// Shard is the number of the shard, from 0.
	Shard int
	// Incarnation is the ULID of this instance's current start.
	Incarnation string
	// WriteInterval is the minimum time between the starts of two appends. Default 250 ms.
	WriteInterval time.Duration
	// ExpiryMargin is how long a record stays valid after its expiry. It covers differences between the wall clocks
	// of instances. Default 10 min.
	ExpiryMargin time.Duration
	// MaxPending bounds the operations that wait for a takeover or a write. Claim requests and finishes that join the
	// queued operation of their key are not counted. Default 4096.
	MaxPending int
	// Rand is the source of the jitter in the back-off between takeovers. Required.
	Rand *rand.Rand
	// Recorder records changes of ownership on the timeline. Default timeline.Discard.
	Recorder timeline.Recorder
	// Checker receives violated invariants. If it is nil, no violation is reported.
	Checker invariant.Checker
}

func (c Config) withDefaults() Config {
	if c.WriteInterval == 0 {
		c.WriteInterval = defaultWriteInterval
	}
	if c.ExpiryMargin == 0 {
		c.ExpiryMargin = defaultExpiryMargin
	}
	if c.MaxPending == 0 {
		c.MaxPending = defaultMaxPending
	}
	if c.Recorder == nil {
		c.Recorder = timeline.Discard
	}
	return c
}
