package backend

import (
	"context"

	"knapweedhoist/request"
)

// Caller calls endpoints of plain services. Implementations are safe for concurrent use.
type Caller interface {
	// Call sends one call to the endpoint at address (IP address and port) and never repeats it. The error wraps
	// ErrUnsent, ErrRefused, ErrBroken or ErrAnswerTooLarge.
	Call(ctx context.Context, address string, call OutgoingCall) (Answer, error)
}

// OutgoingCall is one attempt at a call of a plain service.
type OutgoingCall struct {
	RequestID string
	// Attempt numbers the attempt, from 1.
	Attempt int
	Call    *request.Call
	// Repeatable is set if the call may be sent again after its connection breaks.
	Repeatable bool
	// MaxAnswerBytes bounds the body of the answer.
	MaxAnswerBytes int
}

// Answer is the HTTP answer of an endpoint of a plain service.
type Answer struct {
	Status int
	Header []request.Field
	Body   []byte
}
