package membership

import "knapweedhoist/wire"

// Outgoing is a heartbeat to send to the datagram addresses in To. Beat has no
// sequence number: the sender sets it and splits loads that do not fit one datagram.
type Outgoing struct {
	To   []string
	Beat *wire.Heartbeat
}
