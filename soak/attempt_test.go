package soak

import (
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/request"
)

// attempt is one attempt at an endpoint. Its events can arrive after another attempt has replaced it.
type attempt struct {
	task     *task
	number   int
	endpoint *endpoint
	// next is the index of the next token. progressAt is the time of the last received token, or of the attempt's start
	// before the first one.
	next       int
	progressAt time.Time
	hedged     bool
	ended      bool
}

// hedgeAfter is the time without a first token after which a hedge may start.
const hedgeAfter = 1500 * time.Millisecond

// tick ends a model stream after sessionTimeout without a token. It hedges one after hedgeAfter
// if the request has no token yet, not even from an earlier attempt.
func (a *attempt) tick(now time.Time) {
	t := a.task
	if a.ended || t.done {
		return
	}
	waited := now.Sub(a.progressAt)
	if waited >= sessionTimeout && t.job.spec.Kind == catalog.KindModel {
		t.in.w.count("silent engine stream given up")
		t.attemptEnded(a, request.ResultBroken)
		return
	}
	if waited >= hedgeAfter && !a.hedged && a.next == 0 && t.job.spec.Kind == catalog.KindModel {
		a.hedged = true
		t.hedge()
	}
}

// receiveToken appends a received token to the request; the request refuses tokens of superseded attempts.
func (a *attempt) receiveToken(index int, token string) {
	t := a.task
	if a.ended && t.entry.Live(a.number) {
		return
	}
	number := a.number
	if t.in.w.plantedFaults.ignoreAttemptNumber {
		number = t.entry.LastAttempt()
	}
	if !t.entry.Live(a.number) {
		t.in.w.count("late event of a superseded attempt")
	}
	if err := t.entry.AppendToken(number, index, token); err != nil {
		return
	}
	a.progressAt, a.next = t.in.w.now, index+1
}

// receiveAnswer finishes the request with the received answer, unless this attempt has ended or another has replaced it.
func (a *attempt) receiveAnswer(finish request.Finish) {
	t := a.task
	if a.ended || !t.entry.Live(a.number) {
		return
	}
	a.ended = true
	t.entry.EndAttempt(a.number, request.ResultDone)
	t.finish(finish)
}
