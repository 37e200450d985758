package backend

import (
	"context"
	"time"

	"knapweedhoist/engine"
	"knapweedhoist/request"
)

// try is one running attempt.
type try struct {
	number int
	choice Choice
	// resume are the tokens from which the attempt continues.
	resume []string
	kv     *engine.KVHandle
	ctx    context.Context
	cancel context.CancelFunc
	// leave gets the end of the endpoint's notice, at most once.
	leave chan time.Time
	sent  time.Time
	// next is the index of the next token, and got the number received. Only the attempt's goroutine uses them.
	next   int
	got    int
	finish string
	usage  *engine.Usage
}

// notify passes on that the endpoint is leaving; only the first notice counts.
func (t *try) notify(until time.Time) {
	select {
	case t.leave <- until:
	default:
	}
}

// end is how an attempt ended.
type end struct {
	try    *try
	result request.AttemptResult
	err    error
	// finish is set when the attempt answered the request.
	finish *request.Finish
}
