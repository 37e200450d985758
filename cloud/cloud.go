// Package cloud is the client side of the cloud API: offers of instances with
// their prices, starting and stopping, and reclaim notices.
package cloud

import (
	"context"
	"errors"
)

// Sentinel errors of the cloud API.
var (
	// ErrRefused: the cloud has no such instance to give now. Nothing was started.
	ErrRefused = errors.New("cloud: start refused")
	// ErrNotFound: no such instance.
	ErrNotFound = errors.New("cloud: instance not found")
	// ErrUnavailable: no answer. A start or stop may or may not have taken effect.
	ErrUnavailable = errors.New("cloud: unavailable")
	// ErrThrottled: refused before any effect, over the call rate.
	ErrThrottled = errors.New("cloud: throttled")
	// ErrStaleFence: the order carried an old fencing number and was refused.
	ErrStaleFence = errors.New("cloud: stale fencing number")
	// ErrInvalid: the request is malformed or names an unknown offer.
	ErrInvalid = errors.New("cloud: invalid request")
)

// Cloud is the cloud API. Implementations are safe for concurrent use.
type Cloud interface {
	Offers(ctx context.Context) ([]Offer, error)
	// StartInstance starts one instance. The same operation id starts only one, so that
	// a start whose reply was lost can be sent again.
	StartInstance(ctx context.Context, order StartOrder) (Instance, error)
	// StopInstance ends an instance without notice.
	StopInstance(ctx context.Context, order StopOrder) error
	Instances(ctx context.Context) ([]Instance, error)
	// Notices returns the reclaim notices after sequence number from, oldest first.
	Notices(ctx context.Context, from uint64) ([]Notice, error)
}
