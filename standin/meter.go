package standin

import (
	"time"

	"golang.org/x/time/rate"
)

// rateLimiter limits calls to a rate, with a burst of one second's worth.
type rateLimiter struct {
	limiter *rate.Limiter
}

func newRateLimiter(perSecond int) *rateLimiter {
	return &rateLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// allow counts a call at now. A call over the rate gets the time until the next one may pass.
func (m *rateLimiter) allow(now time.Time) (retryAfter time.Duration, ok bool) {
	reservation := m.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay <= 0 {
		return 0, true
	}
	reservation.CancelAt(now)
	return delay, false
}
