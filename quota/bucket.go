package quota

import "time"

// bucket is a token bucket whose budget is never negative: work that turns out
// longer than expected is owed and paid from the next refills.
type bucket struct {
	budget float64
	owed   float64
	at     time.Time
	// promised is kept for refused work that was told when to come back.
	promised promises
}

// refill adds what the rate gave since the last call.
func (b *bucket) refill(now time.Time, rate, burst float64) {
	if b.at.IsZero() {
		b.at = now
		b.budget = burst
		return
	}
	gain := rate * now.Sub(b.at).Seconds()
	if gain < 0 {
		return
	}
	b.at = now
	paid := min(b.owed, gain)
	b.owed -= paid
	// A smaller grant does not take away what an earlier one gave.
	b.budget = max(b.budget, min(burst, b.budget+gain-paid))
}

// fits reports whether n can be taken. Large work fits once fitShare of the burst is there and is owed for the rest:
// if it had to wait for a full bucket, small work would keep it out at instances with a small grant.
func (b *bucket) fits(now time.Time, n, rate, burst float64) bool {
	b.promised.expire(now, burst)
	free := b.budget - b.promised.due(now, rate)
	if b.budget >= fullShare*burst {
		free = b.budget // A bucket that is nearly full would lose what it keeps.
	}
	return b.owed == 0 && burst > 0 && free >= min(n, fitShare*burst)
}

// fitShare is the part of the burst that large work waits for.
const fitShare = 0.25

// fullShare is the part of the burst from which promises no longer keep work out.
const fullShare = 0.6

// take takes n; what the budget does not cover is owed.
func (b *bucket) take(n float64) {
	paid := min(b.budget, n)
	b.budget -= paid
	b.owed += n - paid
}

// give returns n that was taken in excess.
func (b *bucket) give(n, burst float64) {
	paid := min(b.owed, n)
	b.owed -= paid
	b.budget = min(burst, b.budget+n-paid)
}

// wait is the time until n fits after everything that was promised before, and promises it.
func (b *bucket) wait(now time.Time, n, rate, burst float64) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	missing := b.owed + b.promised.reserved + min(n, burst) - b.budget
	seconds := max(0, missing) / rate
	if seconds > maxWait.Seconds() {
		return maxWait
	}
	after := time.Duration(seconds*float64(time.Second)) + time.Millisecond
	b.promised.add(now, now.Add(after), n)
	return after
}

// maxWait bounds a Retry-After.
const maxWait = time.Minute
