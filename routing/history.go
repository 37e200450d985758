package routing

import (
	"sync"
	"time"
)

// loadSample is a copy of loadCounters at one time.
type loadSample struct {
	running, prefill, decode int64
}

// loadHistory is a ring buffer of this instance's own load counts over the last seconds. A load report arrives late:
// the own counts at the time when it was taken are subtracted from it, and the rest is the load of other instances.
type loadHistory struct {
	mu      sync.Mutex         // guards the fields below
	times   [historySize]int64 // in ns since the epoch; 0 marks an unused slot
	samples [historySize]loadSample
	next    int
}

const (
	// historySize samples at historyInterval cover 8 s, more than the usual delay of a report.
	historySize     = 32
	historyInterval = 250 * time.Millisecond
)

// record stores the counts as they are before a change, at most once per historyInterval. It does nothing while
// another goroutine holds the lock.
func (h *loadHistory) record(now time.Time, c *loadCounters) {
	if !h.mu.TryLock() {
		return
	}
	defer h.mu.Unlock()
	at := now.UnixNano()
	last := h.times[(h.next+historySize-1)%historySize]
	if at-last < int64(historyInterval) {
		return
	}
	h.times[h.next] = at
	h.samples[h.next] = c.snapshot()
	h.next = (h.next + 1) % historySize
}

// sampleAt returns the own counts at the time atNs, in ns since the epoch: the first sample taken then or later, or
// the present counts if there is none.
func (h *loadHistory) sampleAt(atNs int64, c *loadCounters) loadSample {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range historySize {
		slot := (h.next + i) % historySize
		if h.times[slot] >= atNs && h.times[slot] != 0 {
			return h.samples[slot]
		}
	}
	return c.snapshot()
}
