package bench

import (
	"container/heap"
	"time"
)

// loop is a discrete-event loop with a virtual clock. It runs all events in one goroutine.
type loop struct {
	now          time.Time
	events       eventHeap
	lastSequence uint64
}

// epoch is the virtual time at which every scenario starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newLoop() *loop { return &loop{now: epoch} }

// schedule runs fn after a delay. Events of the same time run in the order in which they were scheduled.
func (l *loop) schedule(delay time.Duration, fn func()) {
	l.lastSequence++
	heap.Push(&l.events, event{at: l.now.Add(delay), sequence: l.lastSequence, fn: fn})
}

// scheduleEvery runs fn at a fixed interval until fn returns false.
func (l *loop) scheduleEvery(interval time.Duration, fn func() bool) {
	l.schedule(interval, func() {
		if fn() {
			l.scheduleEvery(interval, fn)
		}
	})
}

// run processes the events up to and including the given time.
func (l *loop) run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.fn()
	}
	l.now = until
}

// elapsed returns the virtual time since epoch.
func (l *loop) elapsed() time.Duration { return l.now.Sub(epoch) }
