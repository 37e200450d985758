// Package engine defines the interface to model engines and implements it as an HTTP client: streamed completions with
// resume and cancel, KV cache export and import, load reports, cache events and orders. Package backend runs attempts
// through it.
package engine

import (
	"context"
	"errors"
)

// Sentinel errors of an Engine.
var (
	// ErrRefused means that the engine refused the request before running it.
	ErrRefused = errors.New("engine: refused")
	// ErrLeaving means that the engine accepts no new work because its instance is leaving. Nothing ran.
	ErrLeaving = errors.New("engine: leaving")
	// ErrBroken means that the connection broke or timed out, or that the reply was invalid or a server error; the
	// request may be running.
	ErrBroken = errors.New("engine: connection broken")
	// ErrUnreachable means that the request was not sent, for example because no connection could be opened; nothing ran.
	ErrUnreachable = errors.New("engine: unreachable")
	// ErrStaleFence means that the engine refused an order because its fencing token is outdated.
	ErrStaleFence = errors.New("engine: stale fencing number")
	// ErrNotFound means that the engine has no such request or KV handle.
	ErrNotFound = errors.New("engine: not found")
)

// Engine is one model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Stream runs one attempt and calls yield for each event in order. It returns nil after the final event, an error
	// that wraps a sentinel of this package, or the error of yield. After an error of yield it cancels the attempt.
	Stream(ctx context.Context, request Request, yield func(Event) error) error
	// Cancel stops an attempt that runs at the engine.
	Cancel(ctx context.Context, id string, attempt int) error
	// ExportKV exports the KV cache of an attempt, for import at another engine.
	ExportKV(ctx context.Context, id string, attempt int) (KVHandle, error)
	// ImportKV imports a KV cache that another engine exported.
	ImportKV(ctx context.Context, handle KVHandle) error
	// Load returns the engine's load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events whose sequence number exceeds from. It may return only the first ones, and the
	// numbers have gaps where the engine lost or deleted events.
	CacheEvents(ctx context.Context, from uint64) ([]CacheEvent, error)
	// Order sends an order. The error wraps ErrStaleFence if the order's fencing token is outdated.
	Order(ctx context.Context, order Order) error
}
