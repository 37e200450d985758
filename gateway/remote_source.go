package gateway

import (
	"context"
	"io"
	"sync"

	"knapweedhoist/request"
)

// remoteWindow bounds the events that a remote source holds for a slow reader.
const remoteWindow = 64

// remoteSource gives the events of a request of another instance. A full
// window blocks the stream between the instances until the caller reads on.
type remoteSource struct {
	cancel context.CancelFunc
	ready  chan struct{}
	space  chan struct{}

	mu     sync.Mutex // guards the fields below
	events []request.Event
	// err is set when no more events follow.
	err error
}

func newRemoteSource(remote request.Attacher, id request.ID, team string, after uint64) *remoteSource {
	ctx, cancel := context.WithCancel(context.Background())
	s := &remoteSource{cancel: cancel, ready: make(chan struct{}, 1), space: make(chan struct{}, 1)}
	go s.follow(ctx, remote, id, team, after)
	return s
}

func (s *remoteSource) follow(ctx context.Context, remote request.Attacher, id request.ID, team string, after uint64) {
	// From one event earlier: without any event, the fleet cannot tell the end of a request from its move.
	err := remote.Attach(ctx, id, team, max(after, 1)-1, func(event request.Event) error {
		if event.ID <= after {
			return nil
		}
		return s.put(ctx, event)
	})
	if err == nil {
		err = io.EOF
	}
	s.mu.Lock()
	s.err = err
	s.mu.Unlock()
	signal(s.ready)
}

func (s *remoteSource) put(ctx context.Context, event request.Event) error {
	for !s.tryPut(event) {
		select {
		case <-s.space:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	signal(s.ready)
	return nil
}

func (s *remoteSource) tryPut(event request.Event) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) >= remoteWindow {
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

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
