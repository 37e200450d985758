package backend

import (
	"context"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/request"
)

// attempt is the state of one attempt to run the request at an endpoint.
type attempt struct {
	number int
	choice Choice
	// resume holds the tokens that earlier attempts delivered, after which this one continues.
	resume []string
	// kv names the KV cache that the previous attempt exported; nil if there is none.
	kv     *engine.KVHandle
	ctx    context.Context
	cancel context.CancelFunc
	// endpointEnd tells the run when the attempt's endpoint stops, once the endpoint is leaving. It buffers one value.
	endpointEnd chan time.Time
	started     time.Time

	// The attempt's goroutine writes the fields below; the run reads them after the attempt has ended.

	// nextIndex is the index, in the whole answer, of the next token that the engine must send.
	nextIndex int
	// received is the number of tokens that this attempt received.
	received int
	// finishReason is that of the engine's last event; "" until that event has arrived.
	finishReason string
	usage        *engine.Usage
}

// notifyLeaving tells the run that the attempt's endpoint is leaving and stops at endsAt. The time is dropped if an
// earlier one is still unread.
func (a *attempt) notifyLeaving(endsAt time.Time) {
	select {
	case a.endpointEnd <- endsAt:
	default:
	}
}

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	attempt *attempt
	result  request.AttemptResult
	err     error
	// finish is set when the attempt answered the request.
	finish *request.Finish
}
