// Package roster is the client side of the platform's lagging list of live and
// leaving instances and endpoints.
package roster

import (
	"context"
	"errors"
)

// ErrUnavailable tells that the list gave no answer.
var ErrUnavailable = errors.New("roster: unavailable")

// List is the lagging list. Implementations are safe for concurrent use.
type List interface {
	Read(ctx context.Context) (Snapshot, error)
}

// Snapshot is the list as it was some time ago.
type Snapshot struct {
	// AtMs is when the list was in this state, in milliseconds since the Unix epoch.
	AtMs    int64   `json:"at_ms"`
	Entries []Entry `json:"entries"`
}
