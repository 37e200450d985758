package quota

import "time"

// reservations holds budget of a bucket for refused requests until their Retry-After times, so that a Retry-After is
// accurate: work that arrives in the meantime cannot take the reserved amount unless the bucket is nearly full.
//
// State: 32 bytes for each reservation, at most maxReservations.
type reservations struct {
	// pending is ordered by time.
	pending []reservation
	// reserved is the sum of the pending amounts.
	reserved float64
	// awaitedRetries is the amount of the reservations whose time has passed and whose retry has not arrived. It was
	// counted as demand when it was refused.
	awaitedRetries float64
}

// reservation is the amount that one refused request needs at its Retry-After time.
type reservation struct {
	at     time.Time
	amount float64
}

const (
	// maxReservations and reservationHorizon bound the reservations of a bucket. A Retry-After beyond them is only an
	// estimate.
	maxReservations    = 256
	reservationHorizon = 10 * time.Second
)

// expire releases the reservations whose time has passed: from then on any work can take the amount. limit bounds
// awaitedRetries, so that callers that never retry do not increase it without end.
func (r *reservations) expire(now time.Time, limit float64) {
	for len(r.pending) > 0 && !r.pending[0].at.After(now) {
		r.reserved -= r.pending[0].amount
		r.awaitedRetries += r.pending[0].amount
		r.pending = r.pending[1:]
	}
	if len(r.pending) == 0 {
		r.reserved = 0
	}
	r.awaitedRetries = min(r.awaitedRetries, limit)
}

// coverRetry reports whether a request of n can be the retry of an earlier refusal, and if so subtracts n from the
// awaited retries. It returns false if they are less than n.
func (r *reservations) coverRetry(n float64) bool {
	if r.awaitedRetries < n {
		return false
	}
	r.awaitedRetries -= n
	return true
}

// neededNow returns the part of the reserved amount that must be in the bucket now, because refilling at rate does not
// add it in time.
func (r *reservations) neededNow(now time.Time, rate float64) float64 {
	if len(r.pending) == 0 {
		return 0
	}
	last := r.pending[len(r.pending)-1].at
	return max(0, r.reserved-rate*last.Sub(now).Seconds())
}

// add reserves n until at, unless maxReservations are pending or at is beyond reservationHorizon or before the last
// pending time.
func (r *reservations) add(now, at time.Time, n float64) {
	if len(r.pending) >= maxReservations || at.Sub(now) > reservationHorizon {
		return
	}
	if k := len(r.pending); k > 0 && at.Before(r.pending[k-1].at) {
		return
	}
	r.pending = append(r.pending, reservation{at: at, amount: n})
	r.reserved += n
}
