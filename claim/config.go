package claim

import (
	"math/rand"
	"time"

	"knapweedhoist/invariant"
	"knapweedhoist/timeline"
)

// Bounds and defaults.
const (
	// DefaultShards is the number of shards of a deployment. It never changes while claims are kept.
	DefaultShards = 32
	// MaxSlotBytes bounds a slot object.
	MaxSlotBytes = 4 << 10
	// MaxAnswerBytes bounds an answer that is kept in a record.
	MaxAnswerBytes = 2 << 10
	// MaxContentTypeBytes bounds the content type of a kept answer.
	MaxContentTypeBytes = 128
	// MaxRequestIDBytes bounds a request id.
	MaxRequestIDBytes = 96
	// DefaultRetention is how long a key stays claimed after its last record.
	DefaultRetention = 24 * time.Hour

	defaultWriteInterval = 250 * time.Millisecond // 4 writes a second
	defaultExpiryMargin  = 10 * time.Minute
	defaultMaxPending    = 4096
	// maxDeadline bounds how far an ask's deadline can move the expiry of its claim.
	maxDeadline = time.Hour
	backoffBase = time.Second
	backoffMax  = 30 * time.Second
	// backoffReset: an ownership that lasted this long ends a series of lost takeovers.
	backoffReset  = time.Minute
	sweepInterval = time.Second
	// pageSlots is the page size of a takeover's reads: 128 slots are at most 512 KiB.
	pageSlots = 128
	maxReads  = 16
)

// Config describes one shard as one instance sees it.
type Config struct {
	// Shard is the shard's number.
	Shard int
	// Incarnation is the ULID of this instance's start.
	Incarnation string
	// WriteInterval is the least time between the starts of two appends. Default 250 ms.
	WriteInterval time.Duration
	// ExpiryMargin is how long after its expiry a record still counts; it covers differences between the wall
	// clocks of instances. Default 10 min.
	ExpiryMargin time.Duration
	// MaxPending bounds the asks and finishes that wait. Default 4096.
	MaxPending int
	// Rand spreads the back-off of takeovers. Required.
	Rand     *rand.Rand
	Recorder timeline.Recorder
	Checker  invariant.Checker
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
