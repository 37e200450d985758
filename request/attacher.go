package request

import (
	"context"
	"errors"
	"io"
)

// Attacher streams the events of a request to a caller that re-attaches.
// Registry implements it for the requests of this instance. Another
// implementation reads from the instance that owns the request, and finds the
// successors of instances that have left.
type Attacher interface {
	// Attach calls yield for each event after the given position, in order. It
	// returns nil after the event with the finish; otherwise ErrNotFound,
	// ErrForbidden, ErrTooManyReaders, ErrUnavailable, ErrMoved if the stream
	// ended because the request moved, the error of yield, or the error of ctx.
	Attach(ctx context.Context, id ID, team string, after uint64, yield func(Event) error) error
}

// followBatchSize is the number of events that Follow reads at a time.
const followBatchSize = 16

// Attach implements Attacher for the requests of this registry.
func (r *Registry) Attach(ctx context.Context, id ID, team string, after uint64, yield func(Event) error) error {
	entry, err := r.Find(id, team)
	if err != nil {
		return err
	}
	return entry.Follow(ctx, after, yield)
}

// Follow calls yield for each event after the given position, up to and
// including the finish. It returns the errors of Attacher.Attach that apply to
// a registered request.
func (e *Entry) Follow(ctx context.Context, after uint64, yield func(Event) error) error {
	reader, err := e.Subscribe(after)
	if err != nil {
		return err
	}
	defer reader.Close()
	buffer := make([]Event, 0, followBatchSize)
	for {
		events, err := reader.Next(buffer)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := yieldAll(events, yield); err != nil {
			return err
		}
		if len(events) > 0 {
			continue
		}
		if err := reader.waitReady(ctx); err != nil {
			return err
		}
	}
}

func yieldAll(events []Event, yield func(Event) error) error {
	for _, event := range events {
		if err := yield(event); err != nil {
			return err
		}
	}
	return nil
}

// waitReady blocks until Next may return more events, or returns the error of ctx.
func (s *Subscription) waitReady(ctx context.Context) error {
	select {
	case <-s.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
