package handover

import (
	"time"

	"knapweedhoist/request"
)

// Event is something that happened at the leaving instance.
type Event interface{ event() }

// Departure starts the handover.
type Departure struct {
	// ReleaseAt is the drain timeout: 30 s for a planned stop, 3 s before the end of a notice.
	ReleaseAt time.Time
	// EndAt is when the instance ends; what is left then ends with its outcome.
	EndAt time.Time
	Peers []Peer
}

// Track adds a request in progress. Its entry is held before.
type Track struct {
	ID request.ID
	// Repeatable: the work may be sent more than once.
	Repeatable bool
	// Events is the position that the callers may have seen.
	Events uint64
}

// Progress tells of new events of a request.
type Progress struct {
	ID       request.ID
	Events   uint64
	Finished bool
}

// Copied is the peer's answer to SendCopy and SendEvents.
type Copied struct {
	ID request.ID
	// Epoch is that of the action.
	Epoch uint64
	// UpTo is the position that the peer now has. It counts without an Err.
	UpTo uint64
	Err  CopyError
}

// CopyError tells why a peer did not take a copy.
type CopyError uint8

// Reasons of a peer.
const (
	CopyTaken CopyError = iota
	// CopyLost: no answer; the peer may have the copy.
	CopyLost
	// CopyRefused: the peer is leaving or full, and has no copy.
	CopyRefused
	// CopyGap: the peer lacks earlier events and needs a new copy.
	CopyGap
	// CopyOwned: the peer owns the request already.
	CopyOwned
)

// Moved is the result of Move.
type Moved struct {
	ID request.ID
	// OK: the request is stopped here. Otherwise it finished, or was sent, before.
	OK bool
}

// Released is the peer's answer to SendRelease.
type Released struct {
	Epoch uint64
	IDs   []request.ID
	// OK: the peer owns the requests. Otherwise there was no answer, or the peer
	// lacks a copy.
	OK bool
	// Missing: the peer lacks a copy and needs a new one.
	Missing bool
}

// PeersChanged gives the live peers that are not leaving.
type PeersChanged struct{ Peers []Peer }

// PeerLost tells that a peer died, is leaving, or that its session broke.
type PeerLost struct{ Peer string }

// Delivered reports the position that callers can see, after Deliver.
type Delivered struct {
	ID   request.ID
	UpTo uint64
}

// SecondSignal is a second SIGTERM: the drain ends at once.
type SecondSignal struct{}

// Tick lets time pass.
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
