package membership

import "knapweedhoist/wire"

// Outgoing is a heartbeat to send to the datagram addresses in To. Heartbeat has no
// sequence number yet: package heartbeat sets it, and splits a heartbeat that does
// not fit one datagram.
type Outgoing struct {
	To        []string
	Heartbeat *wire.Heartbeat
}
