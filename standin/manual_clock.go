package standin

import (
	"sync"
	"time"
)

// ManualClock is a Clock whose time changes only through Advance.
type ManualClock struct {
	mu     sync.Mutex // guards all fields
	now    time.Time
	timers map[*manualTimer]struct{}
}

type manualTimer struct {
	firesAt time.Time
	elapsed chan time.Time
}

// NewManualClock returns a clock set to now.
func NewManualClock(now time.Time) *ManualClock {
	return &ManualClock{now: now, timers: make(map[*manualTimer]struct{})}
}

// Now implements Clock.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After implements Clock.
func (c *ManualClock) After(d time.Duration) (<-chan time.Time, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timer := &manualTimer{firesAt: c.now.Add(d), elapsed: make(chan time.Time, 1)}
	if d <= 0 {
		timer.elapsed <- c.now
		return timer.elapsed, func() {}
	}
	c.timers[timer] = struct{}{}
	return timer.elapsed, func() { c.removeTimer(timer) }
}

func (c *ManualClock) removeTimer(timer *manualTimer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.timers, timer)
}

// Advance moves the clock forward by d and fires the timers that are due.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	for timer := range c.timers {
		if !timer.firesAt.After(c.now) {
			timer.elapsed <- c.now
			delete(c.timers, timer)
		}
	}
}
