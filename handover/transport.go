package handover

import "knapweedhoist/wire"

// Transport reaches the peers of a leaving instance.
type Transport interface {
	// Send sends a call to the peer with this incarnation. It does not block.
	// Unless report is nil it is called once, after Send has returned, with the
	// answer or the error that the peer gave none.
	Send(peer string, call *wire.Call, report func(answer *wire.Answer, err error))
	// Announce tells all peers of the departure and its successor, and writes the
	// departure record. It does not block and repeats failed writes.
	Announce(successor string)
}
