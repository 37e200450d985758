package backend

import (
	"context"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/request"
)

// attempt is one running attempt.
type attempt struct {
	number int
	choice Choice
	// resume holds the tokens that earlier attempts delivered, after which this one continues.
	resume []string
	// kv names the KV cache that the previous attempt exported; nil if there is none.
	kv     *engine.KVHandle
	ctx    context.Context
	cancel context.CancelFunc
	// endpointEnd receives the time at which the leaving endpoint stops, at most one value.
	endpointEnd chan time.Time
	started     time.Time
	// nextIndex is the index of the next token, and received the number of tokens received. The attempt's goroutine
	// writes the fields below; the run reads them after the attempt has ended.
	nextIndex int
	received  int
	finish    string
	usage     *engine.Usage
}

// notifyLeaving sends the time at which the leaving endpoint stops to the run. A value is dropped while an earlier one is
// unread.
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
