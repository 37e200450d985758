package retry

import "time"

// p95Estimator estimates the 95th percentile of a sequence of durations in
// constant space. The estimate rises by 19 steps after a larger value and falls by
// one step after a smaller or equal one, so that it settles where 1 in 20 values
// is larger.
type p95Estimator struct {
	value time.Duration // 0 before the first observation
}

const (
	p95StepsUp   = 19
	p95StepsDown = 1
	// p95StepShare is the size of one step as a share of the estimate.
	p95StepShare = 0.002
)

func (p *p95Estimator) observe(v time.Duration) {
	if p.value == 0 {
		p.value = v
		return
	}
	step := max(1, time.Duration(float64(p.value)*p95StepShare))
	if v > p.value {
		p.value += p95StepsUp * step
	} else {
		p.value = max(1, p.value-p95StepsDown*step)
	}
}
