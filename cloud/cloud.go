// Package cloud is the client of the cloud API: it lists offers with their prices,
// starts, stops and lists instances, and reads reclaim notices.
package cloud

import (
	"context"
	"errors"
)

// Sentinel errors of the cloud API.
var (
	// ErrRefused means that the cloud refused the start, for example because the offer has no capacity now. This call
	// started no instance. With a repeated operation id, an earlier call may have started one, which may since have ended.
	ErrRefused = errors.New("cloud: start refused")
	// ErrNotFound means that no instance has the given id.
	ErrNotFound = errors.New("cloud: instance not found")
	// ErrUnavailable means that the call failed or returned an unexpected status. A start
	// or stop may or may not have taken effect.
	ErrUnavailable = errors.New("cloud: unavailable")
	// ErrThrottled means that the call exceeded the cloud's rate limit and had no effect.
	ErrThrottled = errors.New("cloud: throttled")
	// ErrStaleFence means that the order carried an outdated fencing token and was refused.
	ErrStaleFence = errors.New("cloud: stale fencing number")
	// ErrInvalid means that the request is malformed or names an unknown offer.
	ErrInvalid = errors.New("cloud: invalid request")
)

// Cloud is the cloud API. Implementations are safe for concurrent use.
type Cloud interface {
	// Offers returns the current offers with their prices. A start of an offer can still be refused.
	Offers(ctx context.Context) ([]Offer, error)
	// StartInstance starts one instance. Orders with the same operation id start only one,
	// so that a start whose reply was lost can be retried.
	StartInstance(ctx context.Context, order StartOrder) (Instance, error)
	// StopInstance stops an instance at once; no reclaim notice is sent for the stop.
	StopInstance(ctx context.Context, order StopOrder) error
	// Instances returns the instances that have not ended.
	Instances(ctx context.Context) ([]Instance, error)
	// Notices returns the reclaim notices whose sequence number is greater than after,
	// oldest first.
	Notices(ctx context.Context, after uint64) ([]Notice, error)
}
