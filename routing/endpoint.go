package routing

import "time"

// Endpoint is a server of one service, as listed in the membership. It is immutable.
type Endpoint struct {
	// ID identifies one incarnation of the endpoint. An ID that was leaving once stays leaving.
	ID string
	// Service is the service that the endpoint serves.
	Service string
	// Models are the loaded models; empty for plain services.
	Models []string
	// Datacentre is the data centre where the endpoint runs.
	Datacentre string
	// Leaving endpoints are never chosen.
	Leaving bool
	// ReadyAt is when the endpoint began to serve; the zero time skips the slow start.
	ReadyAt time.Time
	// Profile is the nominal speed of the endpoint's machine class.
	Profile Profile
}
