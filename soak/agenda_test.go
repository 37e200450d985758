package soak

import (
	"container/heap"
	"time"
)

// agenda orders scripted actions by time, and those of one time by insertion.
type agenda struct {
	items []appointment
	seq   int
}

type appointment struct {
	at  time.Time
	seq int
	run func()
}

func (a *agenda) add(at time.Time, run func()) {
	a.seq++
	heap.Push(a, appointment{at: at, seq: a.seq, run: run})
}

// next removes and returns the first action that is due at now, nil without one.
func (a *agenda) next(now time.Time) (time.Time, func()) {
	if len(a.items) == 0 || a.items[0].at.After(now) {
		return time.Time{}, nil
	}
	first := heap.Pop(a).(appointment)
	return first.at, first.run
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (a *agenda) Len() int { return len(a.items) }

func (a *agenda) Less(i, j int) bool {
	if a.items[i].at.Equal(a.items[j].at) {
		return a.items[i].seq < a.items[j].seq
	}
	return a.items[i].at.Before(a.items[j].at)
}

func (a *agenda) Swap(i, j int) { a.items[i], a.items[j] = a.items[j], a.items[i] }

func (a *agenda) Push(x any) { a.items = append(a.items, x.(appointment)) }

func (a *agenda) Pop() any {
	last := a.items[len(a.items)-1]
	a.items = a.items[:len(a.items)-1]
	return last
}
