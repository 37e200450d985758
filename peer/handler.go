package peer

import (
	"context"

	"knapweedhoist/wire"
)

// Handler answers the calls of peers. Its methods must be safe for concurrent
// use. ctx is cancelled when the caller closes the stream or the session ends.
// An error that wraps a *RemoteError is sent as that RemoteError, any other
// error with CodeUnavailable.
type Handler interface {
	// Call answers a call that has one answer.
	Call(ctx context.Context, call *wire.Call) (*wire.Answer, error)
	// Stream answers a call with any number of items, each passed to send. The
	// stream of answers ends when Stream returns.
	Stream(ctx context.Context, call *wire.Call, send func(*wire.Answer) error) error
}
