package control

import (
	"time"

	"knapweedhoist/claim"
	"knapweedhoist/distribution"
	"knapweedhoist/engine"
	"knapweedhoist/membership"
	"knapweedhoist/objectapi"
	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

// Event is an input of a Core.
type Event interface {
	event()
}

// Ticked makes the Core run the work that is due. It must be sent at least every
// TickInterval. Stamp is a reading of the hybrid logical clock for a heartbeat.
type Ticked struct {
	Stamp timeline.Stamp
}

// TickInterval is the longest time between two Ticked events.
const TickInterval = 50 * time.Millisecond

// HeartbeatReceived is an authenticated heartbeat from a peer.
type HeartbeatReceived struct {
	Heartbeat *wire.Heartbeat
}

// RosterRead is the result of a read of the platform's list of instances and
// endpoints.
type RosterRead struct {
	Entries []membership.Entry
}

// RosterRelayed carries changes of the platform's list of instances and endpoints
// from a peer.
type RosterRelayed struct {
	Relay *wire.RosterRelay
}

// NoticeReceived is a notice that an instance or endpoint is leaving, which is
// final for its incarnation. It does not come from a peer.
type NoticeReceived struct {
	Notice membership.Notice
}

// LeavesReceived carries leaves that a peer announced over a session.
type LeavesReceived struct {
	Leaves []*wire.Leave
}

// LoadRead is a load report that this instance read from an endpoint.
type LoadRead struct {
	// Endpoint is the endpoint's id.
	Endpoint string
	Report   engine.LoadReport
}

// PlatformDone is the result of a PlatformCall. There must be exactly one for
// each call.
type PlatformDone struct {
	Component Component
	Done      objectapi.CallResult
}

// ClaimRequested requests the claim of a key from a shard of this instance. It is
// answered with one ClaimAnswered.
type ClaimRequested struct {
	Shard   int
	Request claim.Request
}

// ClaimFinished reports the end of a claim to a shard of this instance. It is
// answered with one ClaimAcked.
type ClaimFinished struct {
	Shard  int
	Finish claim.Finish
}

// ConfigRelayed carries configuration changes from the peer with incarnation From.
type ConfigRelayed struct {
	From  string
	Relay *wire.ConfigRelay
}

// ConfigRequested is a peer's fetch of a configuration document newer than Revision.
// It is answered with one ConfigServed.
type ConfigRequested struct {
	Ref      uint64
	Revision uint64
}

// ConfigFetched is the result of a FetchConfig. Document is nil if the peer had no
// newer document or did not answer.
type ConfigFetched struct {
	From     string
	Document *wire.ConfigDocument
}

// QuotaRequested reports a member's demand and requests its grants. It is answered
// with one QuotaAnswered.
type QuotaRequested struct {
	Ref     uint64
	Request *wire.QuotaAsk
}

// DemandRequested requests the sum of the demands that the live instances of this data
// centre reported to this instance. It is answered with one DemandAnswered.
type DemandRequested struct {
	Ref uint64
}

// QuotaGranted carries the grants of this data centre, which this instance divides
// among the data centre's instances. RequestedAt is the time just before it requested
// them.
type QuotaGranted struct {
	RequestedAt time.Time
	Reply       *wire.QuotaReply
}

// EditRequested requests a change of the configuration document. It is answered with
// one EditDone.
type EditRequested struct {
	Edit distribution.Edit
}

func (Ticked) event()            {}
func (HeartbeatReceived) event() {}
func (RosterRead) event()        {}
func (RosterRelayed) event()     {}
func (NoticeReceived) event()    {}
func (LeavesReceived) event()    {}
func (LoadRead) event()          {}
func (PlatformDone) event()      {}
func (ClaimRequested) event()    {}
func (ClaimFinished) event()     {}
func (ConfigRelayed) event()     {}
func (ConfigRequested) event()   {}
func (ConfigFetched) event()     {}
func (QuotaRequested) event()    {}
func (DemandRequested) event()   {}
func (QuotaGranted) event()      {}
func (EditRequested) event()     {}
