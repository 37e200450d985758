package teamlimit

import (
	"time"

	"knapweedhoist/deployment"
)

// bucket is one team's limit over all instances, as this instance sees it.
type bucket struct {
	limit deployment.Limit
	// extra is what may be used beyond the burst; rate is what comes in a second.
	extra, rate float64
	// level is what may be used now; it is negative while an overdraft is paid back.
	level float64
	// filled is when level was brought up to date.
	filled time.Time
	// used is this instance's use since its start.
	used float64
}

// fill adds what came in since the last call. share is the part of the limit
// that belongs to the instances that hear each other.
func (b *bucket) fill(now time.Time, share float64) {
	elapsed := max(now.Sub(b.filled).Seconds(), 0)
	b.filled = now
	b.level = min(b.level+b.rate*share*elapsed, b.capacity()*share)
}

// capacity is the level of a full bucket.
func (b *bucket) capacity() float64 { return b.limit.Burst + b.extra }

// wait is the time until the level reaches amount.
func (b *bucket) wait(amount, share float64) time.Duration {
	refill := max(b.rate*share, 1e-9)
	return time.Duration(max(amount-b.level, 0) / refill * float64(time.Second))
}
