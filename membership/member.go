package membership

import "time"

// Member is an entry instance. Members in a View are never modified.
type Member struct {
	ID          string
	Incarnation string
	Datacentre  string
	// PeerAddress, DatagramAddress and OperatorAddress are IP:port; "" until the first
	// heartbeat, except for DatagramAddress, which the list contains too.
	PeerAddress     string
	DatagramAddress string
	OperatorAddress string
	State           State
	// Successor is the incarnation that takes over the requests of a leaving member.
	Successor string
	// Revision is the configuration revision in force at the member since RevisionSince.
	Revision      uint64
	RevisionSince time.Time
	// LastHeard is when the member's last heartbeat, or the last live mark for it, was
	// received; zero when there was neither. For this instance it is the time of the last Tick.
	LastHeard time.Time
	// EndsAt is when a leaving instance ends; zero when unknown.
	EndsAt time.Time
}
