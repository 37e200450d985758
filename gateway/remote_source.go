package gateway

import (
	"context"
	"io"
	"sync"

	"knapweedhoist/request"
)

// maxRemoteEvents is the largest number of events that a remoteSource buffers for a
// slow reader.
const maxRemoteEvents = 64

// remoteSource reads the events of a request of another instance. While its buffer
// is full, the stream between the instances blocks until the caller reads more.
type remoteSource struct {
	cancel context.CancelFunc
	// ready receives when an event is added to the buffer or err is set.
	ready chan struct{}
	// space receives after Next, when the buffer may have space again.
	space chan struct{}

	mu     sync.Mutex // guards the fields below
	events []request.Event
	// err is set once no more events follow.
	err error
}

func newRemoteSource(remote request.Attacher, id request.ID, team string, after uint64) *remoteSource {
	ctx, cancel := context.WithCancel(context.Background())
	s := &remoteSource{cancel: cancel, ready: make(chan struct{}, 1), space: make(chan struct{}, 1)}
	go s.receive(ctx, remote, id, team, after)
	return s
}

func (s *remoteSource) receive(ctx context.Context, remote request.Attacher, id request.ID, team string, after uint64) {
	// Starts one event earlier, so that the finish is received again if after is its position: Attach
	// returns ErrMoved for a stream from another instance that ends without the finish.
	err := remote.Attach(ctx, id, team, max(after, 1)-1, func(event request.Event) error {
		if event.ID <= after {
			return nil
		}
		return s.enqueue(ctx, event)
	})
	if err == nil {
		err = io.EOF
	}
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
	signal(s.ready)
}

// enqueue buffers the event. It blocks while the buffer is full, until ctx ends.
func (s *remoteSource) enqueue(ctx context.Context, event request.Event) error {
	for !s.tryEnqueue(event) {
		select {
		case <-s.space:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	signal(s.ready)
	return nil
}

func (s *remoteSource) tryEnqueue(event request.Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) >= maxRemoteEvents {
		return false
	}
	s.events = append(s.events, event)
	return true
}

// Next implements source.
func (s *remoteSource) Next(buffer []request.Event) ([]request.Event, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(cap(buffer)-len(buffer), len(s.events))
	buffer = append(buffer, s.events[:n]...)
	s.events = append(s.events[:0], s.events[n:]...)
	signal(s.space)
	if len(buffer) > 0 {
		return buffer, nil
	}
	return buffer, s.err
}

// Ready implements source.
func (s *remoteSource) Ready() <-chan struct{} {
	return s.ready
}

// Close implements source.
func (s *remoteSource) Close() {
	s.cancel()
}

// signal sends on c without blocking; c has a buffer of one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
