package bench

import (
	"container/heap"
	"time"
)

// loop is a discrete-event loop under a virtual clock. It has one goroutine.
type loop struct {
	now          time.Time
	events       eventHeap
	lastSequence uint64
}

// epoch is the virtual time at which every scenario starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newLoop() *loop { return &loop{now: epoch} }

// after runs fn after a delay. Events of the same time run in the order of their calls to after.
func (l *loop) schedule(delay time.Duration, fn func()) {
	l.lastSequence++
	heap.Push(&l.events, event{at: l.now.Add(delay), sequence: l.lastSequence, fn: fn})
}

// every runs fn at a fixed interval, for as long as fn returns true.
func (l *loop) scheduleEvery(interval time.Duration, fn func() bool) {
	l.schedule(interval, func() {
		if fn() {
			l.scheduleEvery(interval, fn)
		}
	})
}

// run processes events until the given time.
func (l *loop) run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.fn()
	}
	l.now = until
}

// since is the virtual time from the start.
func (l *loop) elapsed() time.Duration { return l.now.Sub(epoch) }
