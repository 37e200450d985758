package retry

import "time"

// percentile estimates the 95th percentile of a stream in constant space: it
// moves up by 19 parts for a larger value and down by one for a smaller one.
type percentile struct {
	value time.Duration
}

const (
	percentileUp   = 19
	percentileDown = 1
	// percentileStep is the relative size of one part.
	percentileStep = 0.002
)

func (p *percentile) add(v time.Duration) {
	if p.value == 0 {
		p.value = v
		return
	}
	step := max(1, time.Duration(float64(p.value)*percentileStep))
	if v > p.value {
		p.value += percentileUp * step
	} else {
		p.value = max(1, p.value-percentileDown*step)
	}
}
