package objectapi

import (
	"context"
	"errors"
)

// Sentinel errors of the object API.
var (
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict: the condition did not hold; Reply.Object is the current object.
	ErrConflict = errors.New("platform: condition failed")
	// ErrUnavailable: no answer. A write may or may not have taken effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrThrottled: refused before any effect, over the call rate.
	ErrThrottled = errors.New("platform: throttled")
	// ErrCompacted: the version to watch from is no longer kept; read the objects again.
	ErrCompacted = errors.New("platform: version compacted")
	// ErrInvalid: the request is malformed or the value is too large; nothing took effect.
	ErrInvalid = errors.New("platform: invalid request")
)

// Store is the object API. Implementations are safe for concurrent use.
type Store interface {
	Do(ctx context.Context, request Request) (Reply, error)
}
