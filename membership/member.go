package membership

import "time"

// Member is an entry instance. Members in a View are never modified.
type Member struct {
	ID          string
	Incarnation string
	Datacentre  string
	// Addresses, IP and port; "" until the first heartbeat, but for DatagramAddress.
	PeerAddress     string
	DatagramAddress string
	OperatorAddress string
	State           State
	// Successor is the incarnation that takes over the requests of a leaving member.
	Successor string
	// Revision is the configuration revision in force there, applied at RevisionSince.
	Revision      uint64
	RevisionSince time.Time
	// LastHeard is the last sign of life: a heartbeat, or a live mark from the
	// member's data centre. Zero when there was none.
	LastHeard time.Time
	// EndsAt is when a leaving instance ends; zero when not known.
	EndsAt time.Time
}
