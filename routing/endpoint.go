package routing

import "time"

// Endpoint is one back end as the membership knows it. It is immutable.
type Endpoint struct {
	// ID names one incarnation of the endpoint; leaving is final for an ID.
	ID string
	// Service is the service that the endpoint serves.
	Service string
	// Models are the models that are loaded; empty for plain services.
	Models []string
	// Datacentre is where the endpoint runs.
	Datacentre string
	// Leaving endpoints are never chosen.
	Leaving bool
	// ReadyAt is when the endpoint began to serve; the zero time means long ago.
	ReadyAt time.Time
	// Profile is the nominal speed of the endpoint's machine class.
	Profile Profile
}
