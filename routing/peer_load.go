package routing

import (
	"sync/atomic"
	"time"
)

// peerLoadMeans holds the mean load that the other instances put on one endpoint of a service. The peer load that a
// report gives for an endpoint is blended with this mean, because instances that all follow the same late report
// would send their work to the same endpoint.
type peerLoadMeans struct {
	running ewma
	prefill ewma
	decode  ewma
}

// peerReportWeight is the weight of one report in the mean.
const peerReportWeight = 1.0 / 8

func (p *peerLoadMeans) add(now time.Time, s loadSample) {
	p.running.addWeighted(now, float64(s.running), peerReportWeight)
	p.prefill.addWeighted(now, float64(s.prefill), peerReportWeight)
	p.decode.addWeighted(now, float64(s.decode), peerReportWeight)
}

// read returns the present means, without decay.
func (p *peerLoadMeans) read() peerLoad {
	return peerLoad{running: p.running.mean(), prefill: p.prefill.mean(), decode: p.decode.mean()}
}

// peerLoad is a copy of peerLoadMeans at one time.
type peerLoad struct {
	running, prefill, decode float64
}

// blend interpolates between the mean (weight 0) and the reported value (weight 1), and rounds the result.
func blend(reported *atomic.Int64, mean, weight float64) int64 {
	if weight > 0 {
		mean += weight * (float64(reported.Load()) - mean)
	}
	return int64(mean + 0.5)
}
