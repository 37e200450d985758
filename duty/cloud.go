// Package duty runs the work that only one entry instance at a time does for the
// whole deployment: it reports the usage of each window to the cloud and orders
// endpoints. Package entry starts one Runner in each instance.
//
// The instance that holds the lease "duties" does the work, and every usage report
// and order carries the fencing token of the lease. The report of a window is written to
// the store before it is sent, so that a later holder sends either exactly the
// same report or none.
package duty

import (
	"context"
	"errors"

	"knapweedhoist/sizing"
	"knapweedhoist/usage"
)

// Sentinel errors that a Cloud returns.
var (
	// ErrNoneAvailable: the cloud has no free endpoint of the ordered kind in the data centre at the moment.
	ErrNoneAvailable = errors.New("duty: no endpoint of the ordered kind available")
	// ErrFenced: the cloud has seen a higher fencing token.
	ErrFenced = errors.New("duty: higher fencing token seen by the cloud")
	// ErrUnavailable: the cloud gave no usable answer; it may have carried out the order.
	ErrUnavailable = errors.New("duty: no usable answer from the cloud")
)

// Holder identifies the lease holder that sends a usage report or an order.
type Holder struct {
	// Name is the name of the instance.
	Name string
	// Fence is the fencing token of its lease.
	Fence uint64
}

// Cloud is the cloud's interface for usage reports and orders. Implementations are safe for concurrent use.
type Cloud interface {
	// ReportUsage reports the counts of a window. It returns ErrFenced or ErrUnavailable.
	ReportUsage(ctx context.Context, holder Holder, window int64, counts usage.Counts) error
	// Resize orders the number of endpoints in size. It returns ErrNoneAvailable or ErrUnavailable.
	Resize(ctx context.Context, holder Holder, size sizing.Size) error
}
