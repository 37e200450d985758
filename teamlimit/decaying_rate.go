package teamlimit

import (
	"math"
	"time"
)

// decayingRate is an exponentially weighted average of a rate with the time constant demandTime.
type decayingRate struct {
	perSecond float64
	updatedAt time.Time
}

// add counts an amount.
func (r *decayingRate) add(now time.Time, amount float64) {
	r.perSecond = r.at(now) + amount/demandTime.Seconds()
	r.updatedAt = now
}

// at returns the rate per second.
func (r *decayingRate) at(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-max(now.Sub(r.updatedAt).Seconds(), 0)/demandTime.Seconds())
}
