package soak

import "time"

// platformSite is the network location of the platform, the list and the cloud API.
const platformSite = "platform"

// network simulates loss, delay, cuts and silent sessions.
type network struct {
	w *world
	// cuts holds the pairs of locations between which nothing is delivered.
	cuts map[[2]string]bool
	// silentSince holds the pairs of addresses whose session has gone silent, and since when: calls and answers over it are
	// lost without a reset, until a new session is opened after sessionTimeout.
	silentSince map[[2]string]time.Time
	// lossFraction and delayedFraction are fractions of all messages; maxExtraDelay bounds the delay added to a delayed one.
	lossFraction, delayedFraction float64
	maxExtraDelay                 time.Duration
}

func newNetwork(w *world) *network {
	return &network{w: w, cuts: make(map[[2]string]bool), silentSince: make(map[[2]string]time.Time)}
}

// pair returns the map key of two locations or addresses, independent of their order.
func pair(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (n *network) cut(a, b string) bool { return n.cuts[pair(a, b)] }

// calm reports whether no cut, loss, delay or silent session is in force.
func (n *network) calm() bool {
	return len(n.cuts) == 0 && n.lossFraction == 0 && n.delayedFraction == 0 && len(n.silentSince) == 0
}

// delay draws the delay of a message: 1 to 3 ms, plus up to maxExtraDelay for delayedFraction of them.
func (n *network) delay() time.Duration {
	delay := time.Millisecond + time.Duration(n.w.rng.Int63n(int64(2*time.Millisecond)))
	if n.delayedFraction > 0 && n.w.rng.Float64() < n.delayedFraction {
		n.w.count("message delayed")
		delay += time.Duration(n.w.rng.Int63n(int64(n.maxExtraDelay)))
	}
	return delay
}

// sendUnreliable runs deliver after the delay of a message between two locations, unless the message is lost or cut off.
func (n *network) sendUnreliable(from, to string, deliver func()) {
	if n.cut(from, to) {
		return
	}
	if n.lossFraction > 0 && n.w.rng.Float64() < n.lossFraction {
		n.w.count("message lost")
		return
	}
	n.w.after(n.delay(), func() {
		if !n.cut(from, to) {
			deliver()
		}
	})
}

// datagram runs handle at the live instance that has the address, unless the datagram is lost or cut off.
func (n *network) datagram(from *instance, address string, handle func(to *instance)) {
	to := n.w.instanceAt(address)
	if to == nil {
		return
	}
	n.sendUnreliable(from.dc, to.dc, func() { to.do(func() { handle(to) }) })
}

// sessionTimeout is the time without progress after which a session is closed, the limit of the peer protocol.
const sessionTimeout = 6 * time.Second

// call makes a call over a session: handle runs at the live instance that has the address, and passes on its answer. A call
// whose request or answer is lost ends at the timeout, as real sessions retransmit lost data and report no error earlier.
// report receives the answer, or nil if there is none.
func (n *network) call(from *instance, address string, timeout time.Duration, handle func(to *instance, answer func(any)), report func(any)) {
	ended := false
	end := func(answer any) {
		if !ended {
			ended = true
			from.do(func() { report(answer) })
		}
	}
	n.w.after(timeout, func() { end(nil) })
	to := n.w.instanceAt(address)
	if to == nil {
		n.w.after(n.delay(), func() { end(nil) })
		return
	}
	if n.silent(from.address, address) {
		return
	}
	target := to
	n.sendUnreliable(from.dc, to.dc, func() {
		target.do(func() {
			handle(target, func(answer any) {
				if !n.silent(from.address, address) {
					n.sendUnreliable(target.dc, from.dc, func() { end(answer) })
				}
			})
		})
	})
}

// silent reports whether the session between two addresses is silent. After sessionTimeout it ends the silence, as the
// waiting side then opens a new session.
func (n *network) silent(a, b string) bool {
	since, found := n.silentSince[pair(a, b)]
	if found && n.w.now.Sub(since) >= sessionTimeout {
		delete(n.silentSince, pair(a, b))
		return false
	}
	return found
}

// silence makes the session between two addresses silent.
func (n *network) silence(a, b string) {
	key := pair(a, b)
	n.silentSince[key] = n.w.now
	n.w.after(sessionTimeout, func() { delete(n.silentSince, key) })
}
