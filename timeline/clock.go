package timeline

import (
	"math"
	"sync"
	"time"
)

// MaxClockSkew bounds how far a remote stamp may be ahead of this machine's
// clock. Stamps beyond it are ignored, so that one machine with a wrong clock
// does not advance the stamps of all instances; the events of that machine are
// then ordered by its own clock only.
const MaxClockSkew = 10 * time.Minute

// Clock is a hybrid logical clock. Its stamps are strictly increasing. It is
// safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu            sync.Mutex // guards the fields below
	last          Stamp
	ignoredStamps uint64
}

// NewClock returns a Clock that reads the wall clock with now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns the stamp of a local event. It orders after every stamp that the clock has returned or accepted before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = maxStamp(c.last.successor(), Stamp{WallMs: c.now().UnixMilli()})
	return c.last
}

// Observe advances the clock past the stamp of a received message and returns
// the stamp of the receipt. That orders after remote, unless remote is ahead of
// the wall clock by more than MaxClockSkew and therefore ignored.
func (c *Clock) Observe(remote Stamp) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := Stamp{WallMs: c.now().UnixMilli()}
	if remote.WallMs-wall.WallMs > MaxClockSkew.Milliseconds() {
		c.ignoredStamps++
	} else {
		c.last = maxStamp(c.last, remote)
	}
	c.last = maxStamp(c.last.successor(), wall)
	return c.last
}

// IgnoredStamps returns how many remote stamps were ignored because they were ahead by more than MaxClockSkew.
func (c *Clock) IgnoredStamps() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ignoredStamps
}

func (s Stamp) successor() Stamp {
	if s.Logical == math.MaxUint32 {
		return Stamp{WallMs: s.WallMs + 1}
	}
	return Stamp{WallMs: s.WallMs, Logical: s.Logical + 1}
}

func maxStamp(a, b Stamp) Stamp {
	if a.Before(b) {
		return b
	}
	return a
}
