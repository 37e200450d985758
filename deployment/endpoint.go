package deployment

import "time"

// Endpoint is one server of a service.
type Endpoint struct {
	// ID usually changes at each start; StartedAtMs distinguishes starts with the same ID.
	ID      string
	Service string
	// Address is IP:PORT. Another endpoint may have the same address later.
	Address    string
	DataCentre string
	// SoftwareVersion is the version of the endpoint's software, "" when unknown. A stream can go on only at an endpoint with
	// the version that began it.
	SoftwareVersion string
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
	// Leaving reports that the endpoint gets no new requests.
	Leaving bool
	// Unconfirmed reports that the endpoint's entry was missing after an outage of the store. It gets new requests only when
	// no other endpoint of the service can serve them.
	Unconfirmed bool
	// Reclaimable reports that the cloud can reclaim the endpoint on short notice.
	Reclaimable bool
	// LeavesIn is the time from the report of a reclaim to the end of the endpoint, 0 when unknown.
	LeavesIn time.Duration
	// WarmUpRemaining is how much longer the endpoint is slow after its start, at the time of the report.
	WarmUpRemaining time.Duration
	// StartedAtMs is the start of the endpoint in milliseconds since the Unix epoch, 0 when unknown.
	StartedAtMs int64
}
