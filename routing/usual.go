package routing

import "time"

// usual is what the endpoints of one group usually do, as this instance observes it.
type usual struct {
	// gap is the time between tokens in ns.
	gap average
	// long is the ratio of observed to predicted first-token times of long work. It corrects predictions for what the
	// profile does not say: prefill in the same batch, short work that goes first, KV memory.
	long average
}

const (
	// longWeight is the weight of one first token in the correction.
	longWeight = 1.0 / 16
	// maxCorrection bounds the correction of a prediction.
	maxCorrection = 4
)

// correction is the factor for the predicted first-token time of long work.
func (u *usual) correction() float64 {
	return max(1, min(u.long.mean(), maxCorrection))
}

// observeLong merges the ratio of one first token.
func (u *usual) observeLong(now time.Time, ratio float64) {
	u.long.merge(now, ratio, longWeight)
}
