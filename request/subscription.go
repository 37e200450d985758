package request

import (
	"io"
	"slices"
)

// Subscription reads the events of a request from a position on. It buffers no
// events, so a slow reader takes no memory besides the request's log. Its
// methods are not safe for concurrent use.
type Subscription struct {
	entry *Entry
	// next is the id of the next event to read.
	next  uint64
	ready chan struct{}
}

// Subscribe returns a reader of the events after the given position. The caller
// must close it. It returns ErrTooManyReaders if Config.MaxReaders are open.
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

// ReaderCount returns the number of open subscriptions.
func (e *Entry) ReaderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.readers)
}

// Ready returns a channel that receives a value when Next may return more events
// or an error.
func (s *Subscription) Ready() <-chan struct{} {
	return s.ready
}

// Next appends the available events to buffer, up to its capacity. If it returns
// no events and no error, the caller waits for Ready. After the last event the
// error is io.EOF, or ErrMoved if the request moved to a peer.
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
	return buffer, e.endError()
}

// endError returns the error that Next returns after the last event, or nil while
// more events may follow. The caller holds mu.
func (e *Entry) endError() error {
	switch {
	case e.machine.state == StateMoved:
		return ErrMoved
	case e.machine.state == StateFinished && e.visible == e.machine.EventCount():
		return io.EOF
	default:
		return nil
	}
}

// Close ends the subscription. Further calls have no effect.
func (s *Subscription) Close() {
	e := s.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.readers, s); i >= 0 {
		e.readers = slices.Delete(e.readers, i, i+1)
	}
}

// signalReady sends to ready without blocking. The channel's buffer of one keeps
// a signal that the reader has not received yet.
func (s *Subscription) signalReady() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}
