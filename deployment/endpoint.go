package deployment

import "time"

// Endpoint is one server of a service.
type Endpoint struct {
	// ID is new at each start, mostly; Born tells starts under the same ID apart.
	ID      string
	Service string
	// Address is IP:PORT. It may belong to another endpoint later.
	Address    string
	DataCentre string
	Slots      int
	// Leaving endpoints get no new requests.
	Leaving bool
	// Reclaimable endpoints can be taken away on short notice.
	Reclaimable bool
	// LeavesIn is the time to the end of a reclaimed endpoint at the report, 0 when unknown.
	LeavesIn time.Duration
	// Cold is how much longer the endpoint is slow after its start.
	Cold time.Duration
	// Born is the Unix time of its start in milliseconds, 0 when unknown.
	Born int64
}
