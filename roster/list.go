// Package roster reads the platform's list of live and leaving instances and
// endpoints. The list is eventually consistent: it lags behind the actual state.
// An entry instance of package knapweedhoist polls it through a Client.
package roster

import (
	"context"
	"errors"
)

// ErrUnavailable is returned when the list cannot be read.
var ErrUnavailable = errors.New("roster: list cannot be read")

// List is the lagging list of the platform. Implementations are safe for concurrent use.
type List interface {
	// Read returns the current Snapshot, or an error that wraps ErrUnavailable.
	Read(ctx context.Context) (Snapshot, error)
}

// Snapshot is the state of the list at an earlier time.
type Snapshot struct {
	// AtMs is the time of the state, in milliseconds since the Unix epoch.
	AtMs    int64   `json:"at_ms"`
	Entries []Entry `json:"entries"`
}
