package handover

import "knapweedhoist/wire"

// Transport carries the messages of a leaving instance to its peers.
type Transport interface {
	// Send sends a call to the peer with this incarnation. It does not block.
	// Unless report is nil, it is called exactly once, after Send has returned, with
	// the peer's answer, or with an error if no answer arrived.
	Send(peer string, call *wire.Call, report func(answer *wire.Answer, err error))
	// Announce sends the departure and its successor to all peers and writes the
	// departure record. It does not block, and it repeats failed writes.
	Announce(successor string)
}
