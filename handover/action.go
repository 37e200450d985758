package handover

import (
	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// Action is a command of a SourceMachine or TargetMachine to the code that runs
// it. Actions are executed in order. Unless its comment says otherwise, the result
// of an action that calls a peer is passed back to the machine as an event.
type Action interface{ action() }

// Announce publishes the departure and its successor to all peers and in the
// departure record. It is emitted again each time the successor changes.
type Announce struct {
	// Successor is the incarnation of the peer that takes the requests over, or ""
	// while no peer has acknowledged a copy.
	Successor string
}

// SendCopy sends the result of Entry.Copy to the peer as wire.HandoverCopy. Its
// result is the event Copied.
type SendCopy struct {
	ID   request.ID
	Peer string
	// Epoch identifies the selection of the peer; Copied repeats it.
	Epoch uint64
	// Sendable is true for a request that must not be repeated and that moved before
	// its call was sent: the peer may send the call.
	Sendable bool
}

// SendEvents sends the result of Entry.EventsAfter to the peer as
// wire.HandoverEvents. Its result is the event Copied.
type SendEvents struct {
	ID   request.ID
	Peer string
	// Epoch identifies the selection of the peer; Copied repeats it.
	Epoch uint64
	// After is the last position that the peer has acknowledged.
	After uint64
}

// Deliver calls Entry.Deliver, which makes the events up to UpTo visible to the
// callers. Its result is the event Delivered.
type Deliver struct {
	ID request.ID
	// UpTo is the position that the peer has acknowledged.
	UpTo uint64
}

// Unhold calls Entry.Unhold, which makes all events visible to the callers,
// because no peer can take a copy.
type Unhold struct{ ID request.ID }

// Hold calls Entry.Hold: new events become visible to the callers only by Deliver.
type Hold struct{ ID request.ID }

// Move stops the request on this instance with Entry.Move, or with
// Entry.MoveUnsent if OnlyUnsent is set. Its result is the event Moved.
type Move struct {
	ID request.ID
	// OnlyUnsent makes Move fail for a request whose call was sent.
	OnlyUnsent bool
}

// SendRelease sends wire.HandoverRelease to the peer, which makes it the owner of
// the requests. Its result is the event Released.
type SendRelease struct {
	Peer string
	// Epoch identifies the selection of the peer; Released repeats it.
	Epoch uint64
	IDs   []request.ID
}

// SendDrop sends wire.HandoverDrop to a peer, which discards its copies of the
// requests. The answer is ignored.
type SendDrop struct {
	Peer string
	IDs  []request.ID
}

// MarkPeerMayRun calls Entry.MarkPeerMayRun: a lost peer may take the request
// over and run it.
type MarkPeerMayRun struct{ ID request.ID }

// Finish finishes the request on this instance with the outcome that
// Entry.OutcomeIfEnded returns, and makes all its events visible to the callers.
type Finish struct{ ID request.ID }

// TakeOver makes the instance the owner of a copied request with
// Registry.Adopt, and starts it with Starter.Start unless it is finished.
type TakeOver struct {
	State *wire.RequestState
	// MaySend is true if the call of the request may be sent. An unfinished request
	// without it ends with the outcome unknown.
	MaySend bool
}

func (Announce) action()       {}
func (SendCopy) action()       {}
func (SendEvents) action()     {}
func (Deliver) action()        {}
func (Unhold) action()         {}
func (Hold) action()           {}
func (Move) action()           {}
func (SendRelease) action()    {}
func (SendDrop) action()       {}
func (MarkPeerMayRun) action() {}
func (Finish) action()         {}
func (TakeOver) action()       {}
