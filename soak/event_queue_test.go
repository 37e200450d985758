package soak

import (
	"container/heap"
	"time"
)

// eventQueue orders scripted actions by time, and those with equal times by insertion.
type eventQueue struct {
	items []scheduledAction
	seq   int
}

// scheduledAction runs at a point of scripted time.
type scheduledAction struct {
	at  time.Time
	seq int
	run func()
}

func (q *eventQueue) add(at time.Time, run func()) {
	q.seq++
	heap.Push(q, scheduledAction{at: at, seq: q.seq, run: run})
}

// next removes and returns the first action that is due at now and its time; the action is nil if none is due.
func (q *eventQueue) next(now time.Time) (time.Time, func()) {
	if len(q.items) == 0 || q.items[0].at.After(now) {
		return time.Time{}, nil
	}
	first := heap.Pop(q).(scheduledAction)
	return first.at, first.run
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *eventQueue) Len() int { return len(q.items) }

func (q *eventQueue) Less(i, j int) bool {
	if q.items[i].at.Equal(q.items[j].at) {
		return q.items[i].seq < q.items[j].seq
	}
	return q.items[i].at.Before(q.items[j].at)
}

func (q *eventQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

func (q *eventQueue) Push(x any) { q.items = append(q.items, x.(scheduledAction)) }

func (q *eventQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}
