package backend

import (
	"context"

	"knapweedhoist/request"
)

// Caller calls an endpoint of a plain service. The error wraps ErrUnsent,
// ErrRefused, ErrBroken or ErrAnswerTooLarge. Implementations are safe for
// concurrent use and repeat nothing.
type Caller interface {
	Call(ctx context.Context, address string, call Outgoing) (Answer, error)
}

// Outgoing is one attempt at a plain call.
type Outgoing struct {
	RequestID string
	Attempt   int
	Call      *request.Call
	// Repeatable: the call may be sent again when its connection breaks.
	Repeatable bool
	// MaxAnswerBytes bounds the answer's body.
	MaxAnswerBytes int
}

// Answer is the answer of a plain endpoint.
type Answer struct {
	Status int
	Header []request.Field
	Body   []byte
}
