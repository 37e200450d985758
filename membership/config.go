// Package membership decides which entry instances and endpoints exist, which
// of them are live, and which entry instances own or watch what. Its sources
// are the lagging list, leave notices and heartbeats. It has no sockets and no
// clock; all methods of Table belong to one goroutine.
package membership

import "time"

// Timing and limits.
const (
	// MinInterval is the shortest heartbeat interval.
	MinInterval = time.Second
	// MembersPerSecond is how many datagrams an instance sends a second to its
	// data centre once that has more members: the interval is N/20 s. With N/30 s a
	// node of a data centre of 60 spent about 21 KB/s on control, over its 17 KB/s.
	MembersPerSecond = 20
	// SuspectIntervals and DeadIntervals are counted since the last sign of life.
	SuspectIntervals = 3
	DeadIntervals    = 6
	// LeaveRepeats is in how many datagrams after the immediate one a leave is sent.
	LeaveRepeats = 10
	// relayRepeats applies to leaves learnt from a peer: they reach the members
	// that missed the immediate datagram, at a fifth of the originator's cost.
	relayRepeats = 2
	// maxLeavesPerBeat keeps the leaves of a reclaimed data centre within the
	// control budget of 17 KB a second; the others follow in later datagrams.
	maxLeavesPerBeat = 8
	// deadProbe is at which multiple of the interval dead members get a
	// datagram, so that both sides of a healed partition find each other.
	deadProbe = 8
	// forgetAfter is above the hour for which regions occasionally lose contact.
	forgetAfter = 2 * time.Hour
	// freshLoad keeps an endpoint that a late list no longer has while its load is reported.
	freshLoad = 10 * time.Second
	// relayedLoads is how many loads of its data centre a datagram to another
	// data centre carries beside those that the sender watches. At the design
	// size all 107 endpoints then pass within about 10 intervals.
	relayedLoads = 8
	// maxHops bounds the walk along successors: about one replacement of the
	// same instance a minute during the hour that departure records are kept.
	maxHops = 64

	// DefaultMaxLeft is how many left incarnations are remembered: 1,000
	// instances that are all replaced 8 times within the lag of the list.
	DefaultMaxLeft = 8192
	// DefaultMaxMembers bounds each of the tables of members and endpoints, at 4 times the design size.
	DefaultMaxMembers = 4096
)

// Config is constant for the life of a Table.
type Config struct {
	// ID, Incarnation and Datacentre identify this entry instance.
	ID, Incarnation, Datacentre string
	// Addresses of this instance, IP and port.
	PeerAddress, DatagramAddress, OperatorAddress string
	// MaxLeft bounds the left incarnations remembered. Default DefaultMaxLeft.
	MaxLeft int
	// MaxMembers bounds the tables. Default DefaultMaxMembers.
	MaxMembers int
}

func (c Config) withDefaults() Config {
	if c.MaxLeft <= 0 {
		c.MaxLeft = DefaultMaxLeft
	}
	if c.MaxMembers <= 0 {
		c.MaxMembers = DefaultMaxMembers
	}
	return c
}
