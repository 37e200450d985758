package request

import (
	"io"
	"slices"
)

// Subscription reads the events of a request from a position. It keeps no
// events of its own: a slow reader holds no memory beside the request's log.
// Its methods are for one goroutine.
type Subscription struct {
	entry *Entry
	next  uint64
	ready chan struct{}
}

// Subscribe returns a reader of the events after the given position. The
// caller closes it.
func (e *Entry) Subscribe(after uint64) (*Subscription, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.readers) >= e.registry.cfg.MaxReaders {
		return nil, ErrTooManyReaders
	}
	reader := &Subscription{entry: e, next: after + 1, ready: make(chan struct{}, 1)}
	e.readers = append(e.readers, reader)
	return reader, nil
}

// Readers returns the number of subscriptions.
func (e *Entry) Readers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.readers)
}

// Ready receives when Next may have something new.
func (s *Subscription) Ready() <-chan struct{} {
	return s.ready
}

// Next appends available events to buffer, up to its capacity. An empty result
// without error means to wait for Ready. After the last event the error is
// io.EOF, or ErrMoved when a peer took the request over.
func (s *Subscription) Next(buffer []Event) ([]Event, error) {
	e := s.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	for s.next <= e.visible && len(buffer) < cap(buffer) {
		buffer = append(buffer, e.machine.event(s.next))
		s.next++
	}
	if len(buffer) > 0 || s.next <= e.visible {
		return buffer, nil
	}
	return buffer, e.ended()
}

// ended returns why no more events follow, nil while some may. The caller holds mu.
func (e *Entry) ended() error {
	switch {
	case e.machine.state == StateMoved:
		return ErrMoved
	case e.machine.state == StateFinished && e.visible == e.machine.Events():
		return io.EOF
	default:
		return nil
	}
}

// Close ends the subscription.
func (s *Subscription) Close() {
	e := s.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.readers, s); i >= 0 {
		e.readers = slices.Delete(e.readers, i, i+1)
	}
}

func (s *Subscription) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}
