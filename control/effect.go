package control

import (
	"time"

	"knapweedhoist/claim"
	"knapweedhoist/distribution"
	"knapweedhoist/lease"
	"knapweedhoist/membership"
	"knapweedhoist/objectapi"
	"knapweedhoist/wire"
)

// Effect is an output of the Core, to be carried out in order.
type Effect interface {
	effect()
}

// PlatformCall is a call of the object API; its result returns as PlatformDone.
type PlatformCall struct {
	Component Component
	Call      objectapi.Call
}

// SendHeartbeat sends a datagram to peers.
type SendHeartbeat struct {
	Outgoing membership.Outgoing
}

// SendLeaves tells all peers over sessions what starts to leave, beside the
// datagrams, which can be lost.
type SendLeaves struct {
	Notice membership.Notice
}

// Publish gives a new view to the readers.
type Publish struct {
	View *View
}

// RelayConfig sends a newer document to peers.
type RelayConfig struct {
	// To is the peer's incarnation.
	To    string
	Relay *wire.ConfigRelay
}

// RelayRoster sends changes of the lagging list to the peers of the data centre.
type RelayRoster struct {
	Relay *wire.RosterRelay
}

// FetchConfig asks a peer for its document, which is newer than Revision.
type FetchConfig struct {
	From     string
	Revision uint64
}

// ConfigServed is the one answer to a ConfigAsked. Document is nil when there
// is nothing newer.
type ConfigServed struct {
	Ref      uint64
	Document *wire.ConfigDocument
}

// QuotaAnswered is the one answer to a QuotaAsked.
type QuotaAnswered struct {
	Ref   uint64
	Reply *wire.QuotaReply
}

// DemandAnswered is the one answer to a DemandAsked.
type DemandAnswered struct {
	Ref     uint64
	Demands []*wire.QuotaDemand
}

// EditDone is the one answer to an EditAsked.
type EditDone struct {
	Result distribution.Result
}

// ClaimAnswered is the one answer to a ClaimAsked.
type ClaimAnswered struct {
	Answer claim.Answer
}

// ClaimAcked is the one answer to a ClaimFinished.
type ClaimAcked struct {
	Ack claim.Ack
}

// EndpointLeaving tells that an endpoint takes no new work, or that its end
// became known.
type EndpointLeaving struct {
	Endpoint *membership.Endpoint
}

// MemberGone tells that an entry instance is dead.
type MemberGone struct {
	Incarnation string
}

// MemberLeaving tells that an entry instance is leaving and which successor it named.
type MemberLeaving struct {
	Incarnation string
	Successor   string
}

// SelfLeaving tells that this instance got a notice; Left is the time until it ends, 0 when not known.
type SelfLeaving struct {
	Left time.Duration
}

// LeaseChanged tells that a duty was acquired, lost or released.
type LeaseChanged struct {
	Duty  string
	Event lease.Event
}

func (PlatformCall) effect()    {}
func (SendHeartbeat) effect()   {}
func (SendLeaves) effect()      {}
func (Publish) effect()         {}
func (RelayConfig) effect()     {}
func (RelayRoster) effect()     {}
func (FetchConfig) effect()     {}
func (ConfigServed) effect()    {}
func (QuotaAnswered) effect()   {}
func (DemandAnswered) effect()  {}
func (EditDone) effect()        {}
func (ClaimAnswered) effect()   {}
func (ClaimAcked) effect()      {}
func (EndpointLeaving) effect() {}
func (MemberGone) effect()      {}
func (MemberLeaving) effect()   {}
func (SelfLeaving) effect()     {}
func (LeaseChanged) effect()    {}
