package membership

import "knapweedhoist/wire"

// Outgoing is an effect: send Beat to the datagram addresses To. Beat has no
// sequence number; the sender sets it and splits loads that do not fit.
type Outgoing struct {
	To   []string
	Beat *wire.Heartbeat
}
