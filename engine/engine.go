// Package engine is the client side of a model engine: streamed completions
// with resume and cancel, KV cache export and import, load reports, cache
// events and orders.
package engine

import (
	"context"
	"errors"
)

// Sentinel errors of an engine.
var (
	// ErrRefused: the engine refused the request before running it.
	ErrRefused = errors.New("engine: refused")
	// ErrLeaving: the engine takes no new work because its instance is leaving. Nothing ran.
	ErrLeaving = errors.New("engine: leaving")
	// ErrBroken: the connection broke or went silent; the request may be running.
	ErrBroken = errors.New("engine: connection broken")
	// ErrUnreachable: no connection could be opened; nothing ran.
	ErrUnreachable = errors.New("engine: unreachable")
	// ErrStaleFence: an order carried an old fencing number and was refused.
	ErrStaleFence = errors.New("engine: stale fencing number")
	// ErrNotFound: the engine does not know the request or KV handle.
	ErrNotFound = errors.New("engine: not found")
)

// Engine is one model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Stream runs one attempt and calls yield for each event in order. It
	// returns nil after the final event, an error that wraps a sentinel of this
	// package, or the error of yield, after which the attempt is cancelled.
	Stream(ctx context.Context, request Request, yield func(Event) error) error
	Cancel(ctx context.Context, id string, attempt int) error
	ExportKV(ctx context.Context, id string, attempt int) (KVHandle, error)
	ImportKV(ctx context.Context, handle KVHandle) error
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events after sequence number from; numbers can be missing.
	CacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error)
	Order(ctx context.Context, order Order) error
}
