package peer

import (
	"context"

	"knapweedhoist/wire"
)

// Handler answers the calls of peers. It is called from many goroutines. ctx
// ends when the caller gives up or the session ends.
type Handler interface {
	// Call answers a call that has one answer.
	Call(ctx context.Context, call *wire.Call) (*wire.Answer, error)
	// Stream answers with any number of items; it ends when Stream returns.
	Stream(ctx context.Context, call *wire.Call, send func(*wire.Answer) error) error
}
