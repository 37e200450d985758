package knapweedhoist

import (
	"context"
	"sync"
)

// waiters match answers of the control goroutine with the goroutines that wait
// for them. Each reference gets at most one answer.
type waiters[T any] struct {
	mu      *sync.Mutex // guards the fields below
	next    *uint64
	pending map[uint64]chan T
}

func newWaiters[T any]() waiters[T] {
	return waiters[T]{mu: new(sync.Mutex), next: new(uint64), pending: make(map[uint64]chan T)}
}

// open returns a new reference and the channel on which its answer comes.
func (w waiters[T]) open() (uint64, <-chan T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*w.next++
	answer := make(chan T, 1)
	w.pending[*w.next] = answer
	return *w.next, answer
}

// answer gives the answer to whoever waits for it. It does not block.
func (w waiters[T]) answer(ref uint64, value T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer, found := w.pending[ref]; found {
		answer <- value
		delete(w.pending, ref)
	}
}

// wait returns the answer, or the error of ctx.
func (w waiters[T]) wait(ctx context.Context, ref uint64, answer <-chan T) (T, error) {
	select {
	case value := <-answer:
		return value, nil
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.pending, ref)
		w.mu.Unlock()
		var zero T
		return zero, ctx.Err()
	}
}
