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

// Effect is an output of a Core. The caller carries effects out in order.
type Effect interface {
	effect()
}

// PlatformCall makes a call of the object API. Its result must be passed back as one PlatformDone.
type PlatformCall struct {
	Component Component
	Call      objectapi.Call
}

// SendHeartbeat sends a heartbeat datagram to peers.
type SendHeartbeat struct {
	Outgoing membership.Outgoing
}

// SendLeaves sends a leave to the live peers of the data centre over sessions, in
// addition to the datagrams, which can be lost.
type SendLeaves struct {
	Notice membership.Notice
}

// Publish makes a new view available to its readers.
type Publish struct {
	View *View
}

// RelayConfig sends configuration changes to a peer.
type RelayConfig struct {
	// To is the peer's incarnation.
	To    string
	Relay *wire.ConfigRelay
}

// RelayRoster sends changes of the platform's list of instances and endpoints to
// the live peers of the data centre.
type RelayRoster struct {
	Relay *wire.RosterRelay
}

// FetchConfig fetches the configuration document from a peer if it is newer than
// Revision. The result must be passed back as one ConfigFetched.
type FetchConfig struct {
	// From is the peer's incarnation.
	From     string
	Revision uint64
}

// ConfigServed answers a ConfigRequested; there is one for each. Document is nil if
// this instance has no newer document.
type ConfigServed struct {
	Ref      uint64
	Document *wire.ConfigDocument
}

// QuotaAnswered answers a QuotaRequested; there is one for each.
type QuotaAnswered struct {
	Ref   uint64
	Reply *wire.QuotaReply
}

// DemandAnswered answers a DemandRequested; there is one for each.
type DemandAnswered struct {
	Ref     uint64
	Demands []*wire.QuotaDemand
}

// EditDone answers an EditRequested; there is one for each.
type EditDone struct {
	Result distribution.Result
}

// ClaimAnswered answers a ClaimRequested; there is one for each.
type ClaimAnswered struct {
	Answer claim.Answer
}

// ClaimAcked answers a ClaimFinished; there is one for each.
type ClaimAcked struct {
	Ack claim.Ack
}

// EndpointLeaving reports that an endpoint is leaving and takes no new work, or
// that the known time of its end changed.
type EndpointLeaving struct {
	Endpoint *membership.Endpoint
}

// MemberDead reports that an entry instance is dead, or that a leaving one is no
// longer known.
type MemberDead struct {
	Incarnation string
}

// MemberLeaving reports that an entry instance is leaving, or that its successor
// changed. Successor is an incarnation, or "" if none is known.
type MemberLeaving struct {
	Incarnation string
	Successor   string
}

// SelfLeaving reports that a peer announced that this instance is leaving. Remaining
// is the time until it ends, 0 if it is not known.
type SelfLeaving struct {
	Remaining time.Duration
}

// LeaseChanged reports that the lease of a duty was acquired, lost or released.
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
func (MemberDead) effect()      {}
func (MemberLeaving) effect()   {}
func (SelfLeaving) effect()     {}
func (LeaseChanged) effect()    {}
