package quota

import "time"

// promises are the times at which refused requests were told to come back. What they need is kept for them, so that a
// Retry-After is accurate: until its time, work that arrives later does not take it.
//
// State: 32 bytes for each promise, at most maxPromises.
type promises struct {
	list []promise
	// reserved is the sum of the list.
	reserved float64
	// returning is what was promised and may be coming back now. It was counted as demand when it was refused.
	returning float64
}

type promise struct {
	at time.Time
	n  float64
}

const (
	// maxPromises and promiseHorizon bound the promises of a team; later Retry-After values are estimates only.
	maxPromises    = 256
	promiseHorizon = 10 * time.Second
)

// expire drops the promises whose time has come: the budget is now there for whoever comes. The limit bounds what
// callers who did not come back leave behind.
func (p *promises) expire(now time.Time, limit float64) {
	for len(p.list) > 0 && !p.list[0].at.After(now) {
		p.reserved -= p.list[0].n
		p.returning += p.list[0].n
		p.list = p.list[1:]
	}
	if len(p.list) == 0 {
		p.reserved = 0
	}
	p.returning = min(p.returning, limit)
}

// returned takes n from what may be coming back, and reports whether it covers n.
func (p *promises) returned(n float64) bool {
	if p.returning < n {
		return false
	}
	p.returning -= n
	return true
}

// due is the part of the reserved amount that must be in the bucket now, because the rate does not add it in time.
func (p *promises) due(now time.Time, rate float64) float64 {
	if len(p.list) == 0 {
		return 0
	}
	last := p.list[len(p.list)-1].at
	return max(0, p.reserved-rate*last.Sub(now).Seconds())
}

// add promises n at the given time, if there is room.
func (p *promises) add(now, at time.Time, n float64) {
	if len(p.list) >= maxPromises || at.Sub(now) > promiseHorizon {
		return
	}
	if k := len(p.list); k > 0 && at.Before(p.list[k-1].at) {
		return
	}
	p.list = append(p.list, promise{at: at, n: n})
	p.reserved += n
}
