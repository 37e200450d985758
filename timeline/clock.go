package timeline

import (
	"math"
	"sync"
	"time"
)

// MaxAhead is how far a remote stamp may be ahead of this machine's clock. A
// machine whose clock is wrong by more does not move the whole fleet's stamps;
// its events then order by its own clock.
const MaxAhead = 10 * time.Minute

// Clock is a hybrid logical clock. Its readings grow strictly. It is safe for
// concurrent use.
type Clock struct {
	now func() time.Time

	mu      sync.Mutex // guards the fields below
	last    Stamp
	refused uint64
}

// NewClock returns a clock over the machine's clock.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns the stamp of a local event, after all stamps given or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = later(c.last.next(), Stamp{WallMs: c.now().UnixMilli()})
	return c.last
}

// Observe takes the stamp of a received message in, and returns the stamp of
// its receipt, which orders after it.
func (c *Clock) Observe(remote Stamp) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := Stamp{WallMs: c.now().UnixMilli()}
	if remote.WallMs-wall.WallMs > MaxAhead.Milliseconds() {
		c.refused++
	} else {
		c.last = later(c.last, remote)
	}
	c.last = later(c.last.next(), wall)
	return c.last
}

// Refused returns how many remote stamps were ahead by more than MaxAhead.
func (c *Clock) Refused() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

func (s Stamp) next() Stamp {
	if s.Logical == math.MaxUint32 {
		return Stamp{WallMs: s.WallMs + 1}
	}
	return Stamp{WallMs: s.WallMs, Logical: s.Logical + 1}
}

func later(a, b Stamp) Stamp {
	if a.Before(b) {
		return b
	}
	return a
}
