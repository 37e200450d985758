package testutil

import (
	"container/heap"
	"time"
)

// queue is a priority queue of scheduled actions, ordered by time and, for equal times, by insertion.
type queue struct {
	actions []action
	seq     int
}

type action struct {
	at  time.Time
	seq int
	run func(at time.Time)
}

func (q *queue) add(at time.Time, run func(time.Time)) {
	q.seq++
	heap.Push(q, action{at: at, seq: q.seq, run: run})
}

// runUntil runs all actions that are due at now, in queue order, including those that an action adds.
func (q *queue) runUntil(now time.Time) {
	for len(q.actions) > 0 && !q.actions[0].at.After(now) {
		next := heap.Pop(q).(action)
		next.run(next.at)
	}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (q *queue) Len() int { return len(q.actions) }

func (q *queue) Less(i, j int) bool {
	if q.actions[i].at.Equal(q.actions[j].at) {
		return q.actions[i].seq < q.actions[j].seq
	}
	return q.actions[i].at.Before(q.actions[j].at)
}

func (q *queue) Swap(i, j int) { q.actions[i], q.actions[j] = q.actions[j], q.actions[i] }

func (q *queue) Push(x any) { q.actions = append(q.actions, x.(action)) }

func (q *queue) Pop() any {
	last := q.actions[len(q.actions)-1]
	q.actions = q.actions[:len(q.actions)-1]
	return last
}
