package soak

import "time"

// line is one connection to an endpoint: what is sent on it arrives in order.
type connection struct {
	last time.Time
	// silentUntil is when a silent connection brings what it held back, late and after other attempts.
	silentUntil time.Time
	// broken: something was dropped, and nothing that follows it may arrive.
	broken bool
}

func (c *connection) drop() {
	if c != nil {
		c.broken = true
	}
}

// reliable carries bytes of a connection: what is lost is sent again and comes later. What meets a cut never comes.
func (n *network) reliable(from, to string, c *connection, deliver func()) {
	if n.cut(from, to) || c != nil && c.broken {
		c.drop()
		return
	}
	w := n.w
	at := w.now.Add(n.delay())
	if n.loss > 0 && w.rng.Float64() < n.loss {
		at = at.Add(w.randomDuration(200*time.Millisecond, 3*time.Second))
	}
	if c != nil {
		if w.rng.Intn(400) == 0 {
			w.count("endpoint connection silent for a while")
			c.silentUntil = w.now.Add(w.randomDuration(time.Second, 12*time.Second))
		}
		at = latest(at, c.last, c.silentUntil)
		c.last = at
	}
	w.eventQueue.add(at, func() {
		if n.cut(from, to) || c != nil && c.broken {
			c.drop()
			return
		}
		deliver()
	})
}
