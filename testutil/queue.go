package testutil

import (
	"container/heap"
	"time"
)

// queue orders scripted actions by time, and actions of the same time by insertion.
type queue struct {
	items []item
	seq   int
}

type item struct {
	at  time.Time
	seq int
	run func(at time.Time)
}

func (q *queue) add(at time.Time, run func(time.Time)) {
	q.seq++
	heap.Push(q, item{at: at, seq: q.seq, run: run})
}

// runUntil runs all actions that are due at now, in order.
func (q *queue) runUntil(now time.Time) {
	for len(q.items) > 0 && !q.items[0].at.After(now) {
		next := heap.Pop(q).(item)
		next.run(next.at)
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *queue) Len() int { return len(q.items) }

func (q *queue) Less(i, j int) bool {
	if q.items[i].at.Equal(q.items[j].at) {
		return q.items[i].seq < q.items[j].seq
	}
	return q.items[i].at.Before(q.items[j].at)
}

func (q *queue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

func (q *queue) Push(x any) { q.items = append(q.items, x.(item)) }

func (q *queue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}
