package teamlimit

import (
	"time"

	"knapweedhoist/deployment"
)

// tokenBucket is this instance's view of one team's token bucket over all instances.
type tokenBucket struct {
	limit deployment.Limit
	// extraBurst is the capacity beyond limit.Burst. refillRate is in the limit's units a second.
	extraBurst, refillRate float64
	// level is the number of units available at refilledAt. It is negative after an overdraft.
	level float64
	// refilledAt is the time of the last refill.
	refilledAt time.Time
	// used is the total that this instance has taken since its start, less refunds.
	used float64
}

// refill adds the units that accrued since the last refill. share is the
// fraction of the limit that belongs to the group of connected instances.
func (b *tokenBucket) refill(now time.Time, share float64) {
	elapsed := max(now.Sub(b.refilledAt).Seconds(), 0)
	b.refilledAt = now
	b.level = min(b.level+b.refillRate*share*elapsed, b.capacity()*share)
}

// capacity returns the level of a full bucket.
func (b *tokenBucket) capacity() float64 { return b.limit.Burst + b.extraBurst }

// timeUntil returns the time until the level reaches amount.
func (b *tokenBucket) timeUntil(amount, share float64) time.Duration {
	rate := max(b.refillRate*share, 1e-9)
	return time.Duration(max(amount-b.level, 0) / rate * float64(time.Second))
}
