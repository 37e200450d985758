// Package membership tracks the entry instances and endpoints of all data
// centres, the state of each, and which entry instance owns a key or watches an
// endpoint or the configuration. Its sources are the lagging list (the platform's list
// of instances, which can show starts and stops late), leave notices and heartbeats. A
// heartbeat to another data centre carries live marks: hashes of the incarnations that
// are live in the sender's data centre. The package opens no sockets and reads no
// clock: callers pass the time and send the returned heartbeats. Only one goroutine may call the methods of Table.
package membership

import "time"

// Heartbeat timing and limits.
const (
	// MinInterval is the shortest heartbeat interval.
	MinInterval = time.Second
	// MaxLocalDatagramsPerSecond bounds the datagrams that an instance sends per second within its
	// data centre: with N members that are neither
	// leaving nor dead, more than 20, the interval is N/20 s. With N/30 s an
	// instance in a data centre of 60 used about 21 KB/s for control traffic, over its budget of 17 KB/s.
	MaxLocalDatagramsPerSecond = 20
	// SuspectIntervals and DeadIntervals are how many expected gaps must pass without a
	// heartbeat or live mark before a member is suspect or dead. The expected gap is one
	// interval within the data centre and can be several for another one: see expectedGaps.
	SuspectIntervals = 3
	DeadIntervals    = 6
	// LeaveRepeats is the number of intervals whose heartbeats repeat a leave after its
	// immediate announcement.
	LeaveRepeats = 10
	// relayedLeaveRepeats replaces LeaveRepeats for leaves received from a peer. These
	// repetitions reach the members that missed the immediate announcement, and cost each
	// relaying instance a fifth of what the originator's repetitions cost it.
	relayedLeaveRepeats = 2
	// maxLeavesPerHeartbeat keeps the leaves of a reclaimed data centre within the
	// control budget of 17 KB/s; the remaining leaves are sent in later heartbeats.
	maxLeavesPerHeartbeat = 8
	// deadProbeIntervals is the number of intervals between datagrams to a dead member of
	// this data centre, so that both sides of a healed partition find each other.
	deadProbeIntervals = 8
	// deadRetention is how long a dead member is kept. It exceeds the hour for which
	// regions occasionally lose contact.
	deadRetention = 2 * time.Hour
	// maxUnlistedLoadAge is the age of a load report up to which an endpoint is kept although
	// the lagging list no longer contains it.
	maxUnlistedLoadAge = 10 * time.Second
	// maxRelayedLoads is the number of loads in a heartbeat to another data centre in
	// addition to those of the endpoints that the sender watches. At the design size
	// (640 endpoints in 6 data centres) an instance then sends the loads of all 107 endpoints
	// of its data centre within 13 intervals.
	maxRelayedLoads = 8
	// maxSuccessorHops bounds the length of a chain of successors: about one replacement of the
	// same instance per minute during the hour for which departure records are kept.
	maxSuccessorHops = 64

	// DefaultMaxLeftIncarnations is the default number of left incarnations that are kept: 1,000
	// instances, each replaced 8 times within the lag of the list.
	DefaultMaxLeftIncarnations = 8192
	// DefaultMaxMembers is the default bound of each of the tables of members and of endpoints:
	// 4 times the design size of 1,000 instances (360 entry instances and 640 endpoints).
	DefaultMaxMembers = 4096
)

// Config identifies this entry instance and bounds the memory of a Table. It does not change after NewTable.
type Config struct {
	// ID, Incarnation and Datacentre identify this entry instance.
	ID, Incarnation, Datacentre string
	// PeerAddress, DatagramAddress and OperatorAddress are this instance's addresses, as IP:port.
	PeerAddress, DatagramAddress, OperatorAddress string
	// MaxLeftIncarnations bounds the left incarnations that are kept, and the incarnations whose
	// successor is kept. Default DefaultMaxLeftIncarnations.
	MaxLeftIncarnations int
	// MaxMembers bounds each of the tables of members and endpoints. Default DefaultMaxMembers.
	MaxMembers int
}

func (c Config) withDefaults() Config {
	if c.MaxLeftIncarnations <= 0 {
		c.MaxLeftIncarnations = DefaultMaxLeftIncarnations
	}
	if c.MaxMembers <= 0 {
		c.MaxMembers = DefaultMaxMembers
	}
	return c
}
