package routing

import (
	"sync/atomic"
	"time"
)

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

// load is a reading of the means.
func (p *peers) load() peerLoad {
	return peerLoad{running: p.running.mean(), prefill: p.prefill.mean(), decode: p.decode.mean()}
}

// peerLoad is the mean load that others put on an endpoint.
type peerLoad struct {
	running, prefill, decode float64
}

// blend returns the reported value pulled towards the mean.
func blend(reported *atomic.Int64, mean, trust float64) int64 {
	if trust > 0 {
		mean += trust * (float64(reported.Load()) - mean)
	}
	return int64(mean + 0.5)
}
