package forward

import (
	"context"
	"time"

	"knapweedhoist/streamorigin"
)

// Origins knows where streams began. It must be safe for concurrent use.
type Origins interface {
	// Record remembers until the given time that the stream of the caller's request id began at origin. It is called before
	// the first event is passed on.
	Record(id string, origin streamorigin.Origin, until time.Time)
	// Find returns where the stream that began with the caller's request id began, "" for an unknown one. service is the one
	// that the present request's route selects. It may wait for other instances, but not beyond ctx. It returns
	// streamorigin.ErrUnknown if several versions of the service can have begun the stream.
	Find(ctx context.Context, id, service string) (streamorigin.Origin, error)
}
