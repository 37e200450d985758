package handover

import (
	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// Action is what the instance must do next. Actions are executed in order;
// those that reach a peer report back with an event.
type Action interface{ action() }

// Announce publishes the departure with its successor: to all peers, and as
// the departure record. It is repeated when the successor changes.
type Announce struct {
	// Successor is the incarnation of the peer, "" when there is none.
	Successor string
}

// SendCopy sends wire.HandoverCopy with Entry.Copy to the peer, and reports Copied.
type SendCopy struct {
	ID   request.ID
	Peer string
	// Epoch numbers the choice of the peer; the report repeats it.
	Epoch uint64
	// Sendable: the request moved before it was sent, and the peer may send it.
	Sendable bool
}

// SendEvents sends wire.HandoverEvents with Entry.EventsAfter to the peer, and reports Copied.
type SendEvents struct {
	ID    request.ID
	Peer  string
	Epoch uint64
	After uint64
}

// Deliver shows events up to a position to the callers with Entry.Deliver.
type Deliver struct {
	ID   request.ID
	UpTo uint64
}

// Unhold shows all events, since there is no peer to copy to.
type Unhold struct{ ID request.ID }

// Hold makes callers wait for Deliver again.
type Hold struct{ ID request.ID }

// Move stops the request here with Entry.Move, or Entry.MoveUnsent when
// OnlyUnsent is set, and reports Moved.
type Move struct {
	ID         request.ID
	OnlyUnsent bool
}

// SendRelease sends wire.HandoverRelease to the peer, and reports Released.
type SendRelease struct {
	Peer  string
	Epoch uint64
	IDs   []request.ID
}

// SendDrop sends wire.HandoverDrop to a former peer. It needs no report.
type SendDrop struct {
	Peer string
	IDs  []request.ID
}

// Doubt marks a request with Entry.MarkPeerMayRun: a lost peer may own it.
type Doubt struct{ ID request.ID }

// End finishes the request here with the outcome that is proved, and shows all
// its events to the callers.
type End struct{ ID request.ID }

// TakeOver makes the instance the owner of a copied request: Registry.Adopt,
// then Runner.Start unless it is finished.
type TakeOver struct {
	State *wire.RequestState
	// Run: the request may be sent. Otherwise it ends with outcome unknown.
	Run bool
}

func (Announce) action()    {}
func (SendCopy) action()    {}
func (SendEvents) action()  {}
func (Deliver) action()     {}
func (Unhold) action()      {}
func (Hold) action()        {}
func (Move) action()        {}
func (SendRelease) action() {}
func (SendDrop) action()    {}
func (Doubt) action()       {}
func (End) action()         {}
func (TakeOver) action()    {}
