package operator

import (
	"context"

	"knapweedhoist/catalog"
	"knapweedhoist/timeline"
)

// Fleet gives access to the state of the fleet and of this instance; the daemon implements it.
type Fleet interface {
	// Status returns the state of the fleet as this instance sees it.
	Status() Status
	// Endpoints returns the status of the endpoints known to this instance.
	Endpoints() []EndpointStatus
	// Request returns the state of a request, read from its home instance or a successor, or ErrNotFound.
	Request(ctx context.Context, id string) (RequestStatus, error)
	// Drain starts a planned stop of this instance and returns without waiting for its end.
	Drain(operator string) error
	// Ready returns nil, or the reason why this instance does not accept new work.
	Ready() error
}

// Configuration gives access to the shared configuration document; the daemon implements it.
type Configuration interface {
	// Document returns the document in force at this instance.
	Document() catalog.Document
	// Change stores a change on the platform. An error wraps a *ConflictError, ErrInvalid, ErrNotFound or ErrUnavailable.
	Change(ctx context.Context, change Change) (ChangeResult, error)
}

// Timeline queries the events of all instances; *Collector implements it.
type Timeline interface {
	// Collect returns the events that match filter, and the instances that did not answer.
	Collect(ctx context.Context, filter timeline.Filter) MergedTimeline
}
