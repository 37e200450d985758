package request

import (
	"context"
	"errors"
	"io"
)

// Attacher gives the events of a request after a position, in order, until the
// last one. It returns nil after the event with the finish, ErrNotFound,
// ErrForbidden, ErrUnavailable, ErrMoved when the stream ended because the
// request moved, the error of yield, or the error of ctx. Registry implements it for
// the requests of this instance; the peer protocol implements it for requests
// of others, following departure records to the successor.
type Attacher interface {
	Attach(ctx context.Context, id ID, team string, after uint64, yield func(Event) error) error
}

// eventBatch is how many events a reader takes from the log at a time.
const eventBatch = 16

// Attach implements Attacher for the requests of this registry.
func (r *Registry) Attach(ctx context.Context, id ID, team string, after uint64, yield func(Event) error) error {
	entry, err := r.Find(id, team)
	if err != nil {
		return err
	}
	return entry.Follow(ctx, after, yield)
}

// Follow calls yield for each event after the position until the finish.
func (e *Entry) Follow(ctx context.Context, after uint64, yield func(Event) error) error {
	reader, err := e.Subscribe(after)
	if err != nil {
		return err
	}
	defer reader.Close()
	buffer := make([]Event, 0, eventBatch)
	for {
		events, err := reader.Next(buffer)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := each(events, yield); err != nil {
			return err
		}
		if len(events) > 0 {
			continue
		}
		if err := reader.wait(ctx); err != nil {
			return err
		}
	}
}

func each(events []Event, yield func(Event) error) error {
	for _, event := range events {
		if err := yield(event); err != nil {
			return err
		}
	}
	return nil
}

// wait returns when Next may have something new, or with the error of ctx.
func (s *Subscription) wait(ctx context.Context) error {
	select {
	case <-s.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
