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

// Event is an input of the Core.
type Event interface {
	event()
}

// Ticked lets time pass. It is sent at least every TickInterval. Stamp is a
// reading of the hybrid logical clock for a heartbeat.
type Ticked struct {
	Stamp timeline.Stamp
}

// TickInterval is the longest time between two Ticked events.
const TickInterval = 50 * time.Millisecond

// HeartbeatReceived is an authenticated heartbeat of a peer.
type HeartbeatReceived struct {
	Beat *wire.Heartbeat
}

// RosterRead is a state of the lagging list.
type RosterRead struct {
	Entries []membership.Entry
}

// RosterRelayed are changes of the lagging list from a peer.
type RosterRelayed struct {
	Relay *wire.RosterRelay
}

// NoticeReceived tells that an instance or endpoint is leaving for good.
type NoticeReceived struct {
	Notice membership.Notice
}

// LeavesReceived are leaves that a peer announced.
type LeavesReceived struct {
	Leaves []*wire.Leave
}

// LoadRead is a load report that this instance read from an endpoint.
type LoadRead struct {
	Endpoint string
	Report   engine.LoadReport
}

// PlatformDone is the result of a PlatformCall; each needs exactly one.
type PlatformDone struct {
	Component Component
	Done      objectapi.Done
}

// ClaimAsked asks for the claim of a key at this instance's shard.
type ClaimAsked struct {
	Shard int
	Ask   claim.Request
}

// ClaimFinished reports the end of a claim to this instance's shard.
type ClaimFinished struct {
	Shard  int
	Finish claim.Finish
}

// ConfigRelayed is a relay from the peer with incarnation From.
type ConfigRelayed struct {
	From  string
	Relay *wire.ConfigRelay
}

// ConfigAsked is a peer's fetch of a document newer than Revision. It is
// answered with one ConfigServed.
type ConfigAsked struct {
	Ref      uint64
	Revision uint64
}

// ConfigFetched is the result of a FetchConfig. Document is nil when the peer
// had nothing newer or did not answer.
type ConfigFetched struct {
	From     string
	Document *wire.ConfigDocument
}

// QuotaAsked is a member's demand. It is answered with one QuotaAnswered.
type QuotaAsked struct {
	Ref uint64
	Ask *wire.QuotaAsk
}

// DemandAsked asks for the sum of the demands that instances of this data
// centre reported. It is answered with one DemandAnswered.
type DemandAsked struct {
	Ref uint64
}

// QuotaGranted are the grants of this data centre, which this instance asked
// for at AskedAt because it divides them further.
type QuotaGranted struct {
	AskedAt time.Time
	Reply   *wire.QuotaReply
}

// EditAsked asks for a change of the configuration document. It is answered
// with one EditDone.
type EditAsked struct {
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
func (ClaimAsked) event()        {}
func (ClaimFinished) event()     {}
func (ConfigRelayed) event()     {}
func (ConfigAsked) event()       {}
func (ConfigFetched) event()     {}
func (QuotaAsked) event()        {}
func (DemandAsked) event()       {}
func (QuotaGranted) event()      {}
func (EditAsked) event()         {}
