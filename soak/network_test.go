package soak

import "time"

// platformSite is the place of the platform, the list and the cloud API.
const platformSite = "platform"

// network decides which messages arrive and when.
type network struct {
	w *world
	// cuts holds the pairs of places that are separated.
	cuts map[[2]string]bool
	// silent holds the pairs of addresses whose connection lost its state, until a new one is opened.
	silentSince map[[2]string]time.Time
	// loss is the share of lost messages, slow the share of delayed ones and late their longest delay.
	loss, slow float64
	late       time.Duration
}

func newNetwork(w *world) *network {
	return &network{w: w, cuts: make(map[[2]string]bool), silentSince: make(map[[2]string]time.Time)}
}

func pair(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (n *network) cut(a, b string) bool { return n.cuts[pair(a, b)] }

// calm reports whether nothing is cut, lost or delayed.
func (n *network) calm() bool {
	return len(n.cuts) == 0 && n.loss == 0 && n.slow == 0 && len(n.silentSince) == 0
}

func (n *network) delay() time.Duration {
	delay := time.Millisecond + time.Duration(n.w.rng.Int63n(int64(2*time.Millisecond)))
	if n.slow > 0 && n.w.rng.Float64() < n.slow {
		n.w.count("message delayed")
		delay += time.Duration(n.w.rng.Int63n(int64(n.late)))
	}
	return delay
}

// carry runs arrive after the delay of a message between two places, unless the message is lost.
func (n *network) carry(from, to string, deliver func()) {
	if n.cut(from, to) {
		return
	}
	if n.loss > 0 && n.w.rng.Float64() < n.loss {
		n.w.count("message lost")
		return
	}
	n.w.after(n.delay(), func() {
		if !n.cut(from, to) {
			deliver()
		}
	})
}

// datagram delivers to whichever instance has the address.
func (n *network) datagram(from *instance, address string, handle func(to *instance)) {
	to := n.w.at(address)
	if to == nil {
		return
	}
	n.carry(from.dc, to.dc, func() { to.do(func() { handle(to) }) })
}

// silence is how long a session without progress stands; it is the limit of the peer protocol.
const sessionTimeout = 6 * time.Second

// call makes a call over a session. Sessions retransmit what is lost, so that a call that does not get
// through ends without an answer at the timeout. A broken answer comes as nil.
func (n *network) call(from *instance, address string, timeout time.Duration, handle func(to *instance, answer func(any)), report func(any)) {
	ended := false
	end := func(answer any) {
		if !ended {
			ended = true
			from.do(func() { report(answer) })
		}
	}
	n.w.after(timeout, func() { end(nil) })
	to := n.w.at(address)
	if to == nil {
		n.w.after(n.delay(), func() { end(nil) })
		return
	}
	if n.muted(from.address, address) {
		return
	}
	target := to
	n.carry(from.dc, to.dc, func() {
		target.do(func() {
			handle(target, func(answer any) {
				if !n.muted(from.address, address) {
					n.carry(target.dc, from.dc, func() { end(answer) })
				}
			})
		})
	})
}

// muted reports whether the connection is silent. The end that waits opens a new one after the limit.
func (n *network) muted(a, b string) bool {
	since, found := n.silentSince[pair(a, b)]
	if found && n.w.now.Sub(since) >= sessionTimeout {
		delete(n.silentSince, pair(a, b))
		return false
	}
	return found
}

// mute makes the connection between two addresses silent.
func (n *network) mute(a, b string) {
	key := pair(a, b)
	n.silentSince[key] = n.w.now
	n.w.after(sessionTimeout, func() { delete(n.silentSince, key) })
}
