package standin

import (
	"time"

	"golang.org/x/time/rate"
)

// rateLimiter is a token bucket whose burst is one second's worth of calls.
type rateLimiter struct {
	limiter *rate.Limiter
}

func newRateLimiter(perSecond int) *rateLimiter {
	return &rateLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// allow reports whether a call at now is within the rate. Otherwise it returns
// the time until the next call is allowed.
func (m *rateLimiter) allow(now time.Time) (retryAfter time.Duration, ok bool) {
	reservation := m.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay <= 0 {
		return 0, true
	}
	reservation.CancelAt(now)
	return delay, false
}
