package soak

import (
	"container/heap"
	"time"
)

// agenda orders scripted actions by time, and those of one time by insertion.
type eventQueue struct {
	items []scheduledAction
	seq   int
}

type scheduledAction struct {
	at  time.Time
	seq int
	run func()
}

func (a *eventQueue) add(at time.Time, run func()) {
	a.seq++
	heap.Push(a, scheduledAction{at: at, seq: a.seq, run: run})
}

// next removes and returns the first action that is due at now, nil without one.
func (a *eventQueue) next(now time.Time) (time.Time, func()) {
	if len(a.items) == 0 || a.items[0].at.After(now) {
		return time.Time{}, nil
	}
	first := heap.Pop(a).(scheduledAction)
	return first.at, first.run
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (a *eventQueue) Len() int { return len(a.items) }

func (a *eventQueue) Less(i, j int) bool {
	if a.items[i].at.Equal(a.items[j].at) {
		return a.items[i].seq < a.items[j].seq
	}
	return a.items[i].at.Before(a.items[j].at)
}

func (a *eventQueue) Swap(i, j int) { a.items[i], a.items[j] = a.items[j], a.items[i] }

func (a *eventQueue) Push(x any) { a.items = append(a.items, x.(scheduledAction)) }

func (a *eventQueue) Pop() any {
	last := a.items[len(a.items)-1]
	a.items = a.items[:len(a.items)-1]
	return last
}
