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
	level      float64
	refilledAt time.Time
	// offered is the demand at this instance, otherOffered that at the other connected instances, in units a second.
	offered      decayingRate
	otherOffered float64
	// credit is the number of units that this instance may admit while the team is over its limit.
	credit float64
	// refunded is the use that the other instances count although it was refunded, until refundedUntil.
	refunded      float64
	refundedUntil time.Time
}

// refill adds the units that accrued since the last refill. share is the
// fraction of the limit that belongs to the group of connected instances.
func (b *tokenBucket) refill(now time.Time, share float64) {
	elapsed := max(now.Sub(b.refilledAt).Seconds(), 0)
	b.refilledAt = now
	b.level = min(b.level+b.refillRate*share*elapsed, b.capacity()*share)
}

// split applies the loss of the connection to other instances. It subtracts the use that they probably had since their
// last messages and leaves them their part of the rest. otherOffered is the demand at the instances that remain.
func (b *tokenBucket) split(now time.Time, formerShare, share, otherOffered float64, correction time.Duration) {
	lost := max(b.otherOffered-otherOffered, 0)
	b.level -= lost * b.admitted(now, formerShare, correction) * silenceTime.Seconds()
	if b.level > 0 {
		b.level *= share / formerShare
	}
}

// capacity returns the level of a full bucket.
func (b *tokenBucket) capacity() float64 { return b.limit.Burst + b.extraBurst }

// admitted returns the part of the demand that the bucket can serve, 1 if it can serve all.
// A level is spread over the correction time, since the others can take it as well before their use is known.
func (b *tokenBucket) admitted(now time.Time, share float64, correction time.Duration) float64 {
	demand := b.offered.at(now) + b.otherOffered
	supply := b.refillRate*share + b.level/correction.Seconds()
	if supply >= demand {
		return 1
	}
	return max(supply, 0) / demand
}

// admit decides about one request, given the admitted part of the demand. While that is not all, each request adds its part
// of the cost to the credit, and is admitted if the credit covers the cost. Requests that cost little therefore pass more
// often, and more callers are served.
func (b *tokenBucket) admit(part, cost float64) bool {
	if part >= 1 {
		return b.level > 0
	}
	b.credit += part * cost
	if b.credit < cost {
		return false
	}
	b.credit -= cost
	return true
}

// wait returns the time after which a refused caller should try again: until the level is above zero, and until the
// credit covers the cost at the present demand of this instance.
func (b *tokenBucket) wait(now time.Time, part, share, cost float64) time.Duration {
	seconds := max(-b.level, 0) / max(b.refillRate*share, 1e-9)
	if part < 1 {
		earned := max(part, minAdmitted) * b.offered.at(now)
		seconds = max(seconds, max(cost-b.credit, 0)/max(earned, 1e-9))
	}
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}

// take withdraws cost and returns the part of it that the other instances do not count yet.
func (b *tokenBucket) take(now time.Time, cost float64) (uncounted float64) {
	b.level -= cost
	if !now.Before(b.refundedUntil) {
		b.refunded = 0
	}
	covered := min(b.refunded, cost)
	b.refunded -= covered
	return cost - covered
}

// refund puts cost back.
func (b *tokenBucket) refund(now time.Time, cost float64) {
	b.level += cost
	b.refunded += cost
	b.refundedUntil = now.Add(refundLifetime)
}
