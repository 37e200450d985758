package soak

import "time"

// connection is one connection to an endpoint; it delivers in order.
type connection struct {
	// lastDeliveryAt is the time of the latest scheduled delivery.
	lastDeliveryAt time.Time
	// stalledUntil is when a stalled connection delivers the delayed data, possibly after data of later attempts. The
	// label in the summary calls such a connection silent.
	stalledUntil time.Time
	// broken reports whether data was dropped; later data must then not be delivered.
	broken bool
}

// drop marks the connection as broken; a nil connection is ignored.
func (c *connection) drop() {
	if c != nil {
		c.broken = true
	}
}

// sendReliable delivers data of a connection. Lost data is retransmitted and arrives later; data that meets a cut between
// the locations breaks the connection and is never delivered. Data with a nil c is delivered in any order.
func (n *network) sendReliable(from, to string, c *connection, deliver func()) {
	if n.cut(from, to) || c != nil && c.broken {
		c.drop()
		return
	}
	w := n.w
	at := w.now.Add(n.delay())
	if n.lossFraction > 0 && w.rng.Float64() < n.lossFraction {
		at = at.Add(w.randomDuration(200*time.Millisecond, 3*time.Second))
	}
	if c != nil {
		if w.rng.Intn(400) == 0 {
			w.count("endpoint connection silent for a while")
			c.stalledUntil = w.now.Add(w.randomDuration(time.Second, 12*time.Second))
		}
		at = latest(at, c.lastDeliveryAt, c.stalledUntil)
		c.lastDeliveryAt = at
	}
	w.eventQueue.add(at, func() {
		if n.cut(from, to) || c != nil && c.broken {
			c.drop()
			return
		}
		deliver()
	})
}
