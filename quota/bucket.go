package quota

import "time"

// bucket is a token bucket, of model tokens or of requests, whose budget is never
// negative: when work uses more than was expected, the excess becomes debt, which
// the next refills repay.
type bucket struct {
	budget float64
	debt   float64
	// refilledAt is the time of the last refill; zero before the first one.
	refilledAt time.Time
	// reservations keeps budget for refused work until its Retry-After time.
	reservations reservations
}

// refill adds rate (per second) for the time since the last call: it first repays debt and adds the rest to the budget,
// up to burst. The first call sets the budget to burst.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
		b.budget = burst
		return
	}
	refill := rate * now.Sub(b.refilledAt).Seconds()
	if refill < 0 {
		return
	}
	b.refilledAt = now
	repaid := min(b.debt, refill)
	b.debt -= repaid
	// A smaller burst does not remove budget that an earlier grant added.
	b.budget = max(b.budget, min(burst, b.budget+refill-repaid))
}

// canTake reports whether n can be taken; nothing can be taken while there is debt. Work larger than largeWorkShare of
// the burst can be taken once the budget without reservations has that share, and the rest becomes debt: if it had to
// wait for a full bucket, small work would starve it at instances with a small grant.
func (b *bucket) canTake(now time.Time, n, rate, burst float64) bool {
	b.reservations.expire(now, burst)
	available := b.budget - b.reservations.neededNow(now, rate)
	if b.budget >= nearlyFullShare*burst {
		available = b.budget // In a nearly full bucket, holding back the reserved amount would waste refills.
	}
	return b.debt == 0 && burst > 0 && available >= min(n, largeWorkShare*burst)
}

// largeWorkShare is the fraction of the burst that large work waits for.
const largeWorkShare = 0.25

// nearlyFullShare is the fraction of the burst from which reservations no longer keep other work out.
const nearlyFullShare = 0.6

// take subtracts n; what the budget does not cover becomes debt.
func (b *bucket) take(n float64) {
	fromBudget := min(b.budget, n)
	b.budget -= fromBudget
	b.debt += n - fromBudget
}

// refund returns n that was taken in excess: it first repays debt and adds the rest to the budget,
// which is then at most burst.
func (b *bucket) refund(n, burst float64) {
	repaid := min(b.debt, n)
	b.debt -= repaid
	b.budget = min(burst, b.budget+n-repaid)
}

// reserveRetry reserves n for a refused request and returns the time until it can be taken, after all earlier
// reservations. If that is longer than maxRetryAfter, or rate is 0, the result is maxRetryAfter and n is not reserved.
// reservations.add lists the other cases in which n is not reserved.
func (b *bucket) reserveRetry(now time.Time, n, rate, burst float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	missing := b.debt + b.reservations.reserved + min(n, burst) - b.budget
	seconds := max(0, missing) / rate
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	retryAfter := time.Duration(seconds*float64(time.Second)) + time.Millisecond
	b.reservations.add(now, now.Add(retryAfter), n)
	return retryAfter
}

// maxRetryAfter bounds the Retry-After of a refused request.
const maxRetryAfter = time.Minute
