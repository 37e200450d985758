package knapweedhoist

import (
	"context"
	"sync"
)

// waiters correlates answers of the control goroutine with the goroutines that
// wait for them, by reference number. Each reference gets at most one answer. It
// is safe for concurrent use.
type waiters[T any] struct {
	mu      *sync.Mutex // guards the fields below
	lastRef *uint64
	pending map[uint64]chan T
}

func newWaiters[T any]() waiters[T] {
	return waiters[T]{mu: new(sync.Mutex), lastRef: new(uint64), pending: make(map[uint64]chan T)}
}

// register returns a new reference and the channel that receives its answer.
func (w waiters[T]) register() (uint64, <-chan T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*w.lastRef++
	answer := make(chan T, 1)
	w.pending[*w.lastRef] = answer
	return *w.lastRef, answer
}

// deliver sends the answer to the goroutine that waits for it, or drops it if
// there is none. It does not block.
func (w waiters[T]) deliver(ref uint64, value T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer, found := w.pending[ref]; found {
		answer <- value
		delete(w.pending, ref)
	}
}

// wait returns the answer. If ctx ends first, it removes the reference and
// returns the error of ctx.
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
