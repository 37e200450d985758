package objectapi

import (
	"context"
	"errors"
)

// Sentinel errors of the object API.
var (
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict is returned when the condition does not hold. Reply.Object is the current object.
	ErrConflict = errors.New("platform: condition failed")
	// ErrUnavailable is returned when there is no answer. A write may or may not have taken effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrThrottled is returned when the call rate is over the limit. The call had no effect.
	ErrThrottled = errors.New("platform: throttled")
	// ErrCompacted is returned when the store no longer keeps the changes after Request.From. The caller must list the
	// objects again.
	ErrCompacted = errors.New("platform: version compacted")
	// ErrInvalid is returned when the request is malformed or the value is too large. The call had no effect.
	ErrInvalid = errors.New("platform: invalid request")
)

// Store executes requests of the object API. Its errors wrap the sentinel errors of this package; the Reply beside an error
// has the era that the answer names, and with ErrConflict the current object. Implementations are safe for concurrent use.
type Store interface {
	Do(ctx context.Context, request Request) (Reply, error)
}
