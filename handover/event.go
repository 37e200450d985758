package handover

import (
	"time"

	"knapweedhoist/request"
)

// SourceEvent is an input of a SourceMachine.
type SourceEvent interface{ event() }

// Departure starts the handover. A second Departure can only move ReleaseAt and
// EndAt to earlier times.
type Departure struct {
	// ReleaseAt is the end of the drain, when copied requests are released to the
	// peer: by default 30 s after the start of a planned stop, or 3 s before the end
	// of a reclaim notice.
	ReleaseAt time.Time
	// EndAt is when the instance ends. Of the requests that are left then, a
	// repeatable one that the peer has a copy of moves, and any other one that has not
	// moved finishes with the outcome that Entry.OutcomeIfEnded returns.
	EndAt time.Time
	// Peers are the live peers that are not leaving.
	Peers []Peer
}

// Track adds a request to the handover. Entry.Hold must have been called for it
// before.
type Track struct {
	ID request.ID
	// Repeatable is true if the call may be sent more than once.
	Repeatable bool
	// Events is the number of events of the request so far. The callers may have read
	// all of them.
	Events uint64
}

// Progress reports new events of a request.
type Progress struct {
	ID request.ID
	// Events is the number of events of the request so far.
	Events   uint64
	Finished bool
}

// Copied is the result of SendCopy or SendEvents.
type Copied struct {
	ID request.ID
	// Epoch is the epoch of the action.
	Epoch uint64
	// UpTo is the position of the peer's copy. It is valid only if Result is CopyAccepted.
	UpTo   uint64
	Result CopyResult
}

// CopyResult is the result of sending a copy, events or a release to a peer.
type CopyResult uint8

// Results of a peer. See copyAnswer for their form in the protocol.
const (
	// CopyAccepted means that the peer did what the message asked for.
	CopyAccepted CopyResult = iota
	// CopyUnanswered means that no answer arrived; the peer may have the copy.
	CopyUnanswered
	// CopyRefused means that the peer did not store the copy, because it is leaving or full, or
	// because the copy has an invalid id or an old epoch.
	CopyRefused
	// CopyGap means that the peer has no copy or lacks earlier events, and needs a new copy.
	CopyGap
	// CopyOwned means that the peer already owns the request.
	CopyOwned
)

// Moved is the result of Move.
type Moved struct {
	ID request.ID
	// OK is true if the request has stopped on this instance. Otherwise the request
	// had finished before, or its call had been sent and OnlyUnsent was set.
	OK bool
}

// Released is the result of SendRelease.
type Released struct {
	// Epoch is the epoch of the action.
	Epoch uint64
	IDs   []request.ID
	// OK is true if the peer owns the requests. Otherwise no answer arrived, or the
	// peer lacks a copy.
	OK bool
	// CopyMissing is true if the peer lacks a copy and needs a new one.
	CopyMissing bool
}

// PeersChanged reports the live peers that are not leaving.
type PeersChanged struct{ Peers []Peer }

// PeerLost reports that a peer died or is leaving, or that the session with it broke.
type PeerLost struct{ Peer string }

// Delivered is the result of Deliver.
type Delivered struct {
	ID request.ID
	// UpTo is the position that is visible to the callers.
	UpTo uint64
}

// SecondSignal reports a second SIGTERM: the drain ends at once.
type SecondSignal struct{}

// Tick makes the machine compare the current time with the end of the drain. Every
// event also runs the timers for peers that failed and for the end of the instance.
type Tick struct{}

func (Departure) event()    {}
func (Track) event()        {}
func (Progress) event()     {}
func (Copied) event()       {}
func (Moved) event()        {}
func (Released) event()     {}
func (PeersChanged) event() {}
func (PeerLost) event()     {}
func (Delivered) event()    {}
func (SecondSignal) event() {}
func (Tick) event()         {}
