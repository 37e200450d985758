// Package duty runs the work that one entry instance at a time does for all: it
// reports the usage of each window and orders endpoints.
//
// The holder of the lease "duties" does the work; every order carries the fence
// of the lease. What was reported for a window is written to the store before it
// is sent, so that a successor repeats exactly that report or none.
package duty

import (
	"context"
	"errors"

	"knapweedhoist/sizing"
	"knapweedhoist/usage"
)

// Sentinel errors of the cloud.
var (
	// ErrNoneAvailable: no endpoint of that kind can be had there at the moment.
	ErrNoneAvailable = errors.New("duty: none available")
	// ErrUnavailable: the cloud gave no answer; the order may have been taken.
	ErrUnavailable = errors.New("duty: cloud unavailable")
)

// Holder identifies who gives an order.
type Holder struct {
	Name  string
	Fence uint64
}

// Cloud takes the orders. It is safe for concurrent use.
type Cloud interface {
	ReportUsage(ctx context.Context, holder Holder, window int64, counts usage.Counts) error
	Resize(ctx context.Context, holder Holder, size sizing.Size) error
}
