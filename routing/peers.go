package routing

import "time"

// peers holds the mean load that other instances put on an endpoint of the
// service. Reports are pulled towards it: instances that all follow the same
// late report send their work to the same endpoint.
type peers struct {
	running average
	prefill average
	decode  average
}

// peersWeight is the weight of one report in the mean.
const peersWeight = 1.0 / 8

func (p *peers) add(now time.Time, s sample) {
	p.running.merge(now, float64(s.running), peersWeight)
	p.prefill.merge(now, float64(s.prefill), peersWeight)
	p.decode.merge(now, float64(s.decode), peersWeight)
}

// blend returns the reported value pulled towards the mean.
func blend(reported int64, mean *average, trust float64) int64 {
	m := mean.mean()
	return int64(m + trust*(float64(reported)-m) + 0.5)
}
