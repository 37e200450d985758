package soak

import (
	"time"

	"knapweedhoist/catalog"
	"knapweedhoist/request"
)

// try is one attempt at an endpoint. Its events can come after another attempt has replaced it.
type try struct {
	task     *task
	number   int
	endpoint *endpoint
	next     int
	progress time.Time
	hedged   bool
	ended    bool
}

// hedgeAfter is the time without a token after which a hedge may start.
const hedgeAfter = 1500 * time.Millisecond

func (y *try) turn(now time.Time) {
	t := y.task
	if y.ended || t.done {
		return
	}
	waited := now.Sub(y.progress)
	if waited >= silence && t.job.spec.Kind == catalog.KindModel {
		t.in.w.count("silent engine stream given up")
		t.tryEnded(y, request.ResultBroken)
		return
	}
	if waited >= hedgeAfter && !y.hedged && y.next == 0 && t.job.spec.Kind == catalog.KindModel {
		y.hedged = true
		t.hedge()
	}
}

// token takes a token of the attempt in.
func (y *try) token(index int, token string) {
	t := y.task
	if y.ended && t.entry.Live(y.number) {
		return
	}
	number := y.number
	if t.in.w.plant.dropAttempt {
		number = t.entry.LastAttempt()
	}
	if !t.entry.Live(y.number) {
		t.in.w.count("late event of a superseded attempt")
	}
	if err := t.entry.AppendToken(number, index, token); err != nil {
		return
	}
	y.progress, y.next = t.in.w.now, index+1
}

// answered takes the whole answer in, unless another attempt has replaced this one.
func (y *try) answered(finish request.Finish) {
	t := y.task
	if y.ended || !t.entry.Live(y.number) {
		return
	}
	y.ended = true
	t.entry.EndAttempt(y.number, request.ResultDone)
	t.finish(finish)
}
