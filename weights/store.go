// Package weights is the client side of the rate-limited weight store, which
// holds the weights of models and adapters.
package weights

import (
	"context"
	"errors"
)

// Sentinel errors of the weight store.
var (
	ErrNotFound = errors.New("weights: not found")
	// ErrThrottled: refused, over the rate.
	ErrThrottled = errors.New("weights: throttled")
	// ErrUnavailable: no answer.
	ErrUnavailable = errors.New("weights: unavailable")
)

// Store is the weight store. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the descriptor of a model's or adapter's weights. Each call
	// counts towards the store's rate.
	Get(ctx context.Context, name string) (Descriptor, error)
}

// Descriptor describes stored weights.
type Descriptor struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Bytes is the size of the weights.
	Bytes int64 `json:"bytes"`
}
