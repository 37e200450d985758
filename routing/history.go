package routing

import (
	"sync"
	"time"
)

// sample is a reading of counts.
type sample struct {
	running, prefill, decode int64
}

// history keeps own counts over the last seconds, so that a late report can
// be split into the own part and the others' part at the time it was taken.
type history struct {
	mu      sync.Mutex // guards the fields below
	times   [historySize]int64
	samples [historySize]sample
	next    int
}

const (
	// historySize samples of historyEvery cover 8 s, more than the usual lag of a report.
	historySize  = 32
	historyEvery = 250 * time.Millisecond
)

// note records the counts as they are before a change, at most every historyEvery.
func (h *history) note(now time.Time, c *counts) {
	if !h.mu.TryLock() {
		return
	}
	defer h.mu.Unlock()
	at := now.UnixNano()
	last := h.times[(h.next+historySize-1)%historySize]
	if at-last < int64(historyEvery) {
		return
	}
	h.times[h.next] = at
	h.samples[h.next] = c.read()
	h.next = (h.next + 1) % historySize
}

// at returns the own counts at the given time: the first sample taken after it, or the present counts.
func (h *history) at(when int64, c *counts) sample {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range historySize {
		slot := (h.next + i) % historySize
		if h.times[slot] >= when && h.times[slot] != 0 {
			return h.samples[slot]
		}
	}
	return c.read()
}
