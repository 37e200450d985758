package operator

import (
	"context"

	"knapweedhoist/catalog"
	"knapweedhoist/timeline"
)

// Fleet is the daemon's side of status and drain.
type Fleet interface {
	Status() Status
	Endpoints() []EndpointStatus
	// Request returns a request's state, from its home or successor; ErrNotFound.
	Request(ctx context.Context, id string) (RequestStatus, error)
	// Drain starts a planned stop of this instance and returns at once.
	Drain(operator string) error
	// Ready returns nil, or why this instance takes no new work.
	Ready() error
}

// Configuration is the daemon's side of the shared document.
type Configuration interface {
	// Document returns the document in force here.
	Document() catalog.Document
	// Change stores a change on the platform. Errors: *ConflictError, ErrInvalid,
	// ErrNotFound, ErrUnavailable.
	Change(ctx context.Context, change Change) (ChangeResult, error)
}

// Timeline gives the events of all instances; *Collector implements it.
type Timeline interface {
	Collect(ctx context.Context, filter timeline.Filter) Collected
}
