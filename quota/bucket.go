package quota

import "time"

// bucket is a token bucket whose budget is never negative: work that turns out
// longer than expected is owed and paid from the next refills.
type bucket struct {
	budget float64
	owed   float64
	at     time.Time
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
	b.budget = min(max(burst, 0), b.budget+gain-paid)
}

// fits reports whether n can be taken; work larger than the whole burst fits a full bucket.
func (b *bucket) fits(n, burst float64) bool {
	return b.owed == 0 && (b.budget >= n || b.budget >= burst && burst > 0)
}

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

// wait is the time until n fits.
func (b *bucket) wait(n, rate, burst float64) time.Duration {
	missing := b.owed + max(0, min(n, burst)-b.budget)
	if rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration(missing/rate*float64(time.Second))+time.Millisecond)
}

// maxWait bounds a Retry-After.
const maxWait = time.Minute
