package fleetstate

import (
	"time"
)

// Sender holds the fields that all messages carry.
type Sender struct {
	Source Source
	// Address is the IP:PORT at which the sender receives messages and answers reads.
	Address    string
	DataCentre string
	// Sequence increases with each message of the same Source.
	Sequence uint64
	// Interval is the time until the sender's next message of this type.
	Interval time.Duration
	// Wall is the sender's wall clock in a Report, and its estimate of the true time of day otherwise.
	Wall time.Time
	// ConfigVersion is the version of the sender's configuration, 0 if it has none. ConfigAge is the time since the sender
	// last knew that it is the newest.
	ConfigVersion int64
	ConfigAge     time.Duration
}

// Report is the state of one instance, sent to the aggregators of its data centre.
type Report struct {
	Sender
	// Weight ranks the instance among the candidates for an aggregator; a higher one goes first.
	Weight int
	// Leaving is set while the instance stops: it takes no new work and releases its duties.
	Leaving bool
	// WantsDigest asks the receiver for Digests.
	WantsDigest bool
	State       State
}

// Summary is the state of a data centre, sent to the aggregators of the others.
type Summary struct {
	Sender
	// Live is the number of instances whose reports are recent, the sender included.
	Live int
	// CompleteUntil is the time of day up to which State contains the counts of all live instances.
	CompleteUntil time.Time
	// ClockOffsets holds the difference between the wall clock of each live instance and Sender.Wall.
	ClockOffsets []time.Duration
	State        State
}

// Digest is the state of the deployment, sent by an aggregator to a member of its data centre.
type Digest struct {
	Sender
	// Live is the number of instances in the deployment that the sender is connected to, Total that of all instances.
	Live, Total int
	// CompleteUntil is the time of day up to which State contains the counts of all live instances.
	CompleteUntil time.Time
	// Aggregators lists the instances to report to, the first by rank among those that report to the sender.
	Aggregators []Peer
	// Slice is the index of the part of the endpoints of other data centres whose load the digest contains, out of Slices
	// parts. An endpoint belongs to the part EndpointKey mod Slices. Endpoints of the own data centre are always included.
	Slice, Slices int
	State         State
	// IncludedBoot and IncludedSequence identify the latest report of the receiver that State includes.
	IncludedBoot, IncludedSequence uint64
	// Unlisted is set when the store has no object for the receiver.
	Unlisted bool
}

// Peer is the name and address of an instance.
type Peer struct {
	Name, Address string
}
