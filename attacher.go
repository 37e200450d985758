package knapweedhoist

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"knapweedhoist/internal/wait"
	"knapweedhoist/objectapi"
	"knapweedhoist/peer"
	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// attacher streams the events of a request from the entry instance that owns
// it. When the owner has left, it follows the chain of successors.
type attacher struct {
	instance *Instance
}

// Limits of the search for the owner of a request.
const (
	// maxSuccessors limits the number of instances that are queried in one chain of handovers.
	maxSuccessors = 16
	// attachRetry is the delay before the search is repeated after a failure.
	attachRetry = 200 * time.Millisecond
	// attachSearchTimeout is the time from the start of Attach after which a
	// failed search is not repeated. It covers a handover: a session without
	// traffic is detected as lost after 6 s, and the target takes over 2 s after
	// its session broke.
	attachSearchTimeout = 10 * time.Second
)

// Attach implements request.Attacher.
func (a *attacher) Attach(
	ctx context.Context, id request.ID, team string, after uint64, yield func(request.Event) error,
) error {
	position := after
	trackPosition := func(event request.Event) error {
		if err := yield(event); err != nil {
			return &readerError{err: err}
		}
		position = event.ID
		return nil
	}
	searchDeadline := time.Now().Add(attachSearchTimeout)
	for {
		err := a.attachOnce(ctx, id, team, position, trackPosition)
		var readerErr *readerError
		switch {
		case errors.As(err, &readerErr):
			return readerErr.err
		case err == nil, errors.Is(err, request.ErrForbidden), ctx.Err() != nil:
			return err
		case time.Now().After(searchDeadline):
			return err
		}
		wait.For(ctx, attachRetry)
	}
}

// readerError wraps an error that the yield function of the reader returned.
// It ends the search.
type readerError struct {
	err error
}

func (e *readerError) Error() string { return e.err.Error() }

// attachOnce queries the instance that accepted the request and then its
// successors. It returns the joined errors if none of them serves the events.
func (a *attacher) attachOnce(
	ctx context.Context, id request.ID, team string, after uint64, yield func(request.Event) error,
) error {
	owner := id.Incarnation
	var errs error
	for range maxSuccessors {
		err := a.attachAt(ctx, owner, id, team, after, yield)
		var readerErr *readerError
		if err == nil || errors.Is(err, request.ErrForbidden) || errors.As(err, &readerErr) || ctx.Err() != nil {
			return err
		}
		errs = errors.Join(errs, err)
		next, found := a.successor(ctx, owner)
		if !found || next == owner {
			return errs
		}
		owner = next
	}
	return errs
}

func (a *attacher) attachAt(
	ctx context.Context, owner string, id request.ID, team string, after uint64, yield func(request.Event) error,
) error {
	if owner == a.instance.incarnation {
		return a.instance.attachLocal(ctx, id, team, after, yield)
	}
	address, err := a.instance.peerAddress(owner)
	if err != nil {
		return request.ErrNotFound
	}
	call := &wire.Call{Body: &wire.Call_Attach{Attach: &wire.Attach{Id: id.String(), Team: team, After: after}}}
	finished := false
	err = a.instance.peers.Stream(ctx, address, call, func(answer *wire.Answer) error {
		event := request.EventFromMessage(answer.GetAttachEvent())
		finished = event.Finish != nil
		return yield(event)
	})
	if err == nil && !finished {
		return request.ErrMoved
	}
	return attachErrorFromRemote(err)
}

// attachErrorFromRemote converts the error of a peer's event stream to one that
// request.Attacher specifies. Peers create it with attachErrorToRemote.
func attachErrorFromRemote(err error) error {
	var remote *peer.RemoteError
	var readerErr *readerError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &readerErr):
		return readerErr
	case errors.As(err, &remote) && remote.Code == peer.CodeNotFound:
		return request.ErrNotFound
	case errors.As(err, &remote) && remote.Code == peer.CodeForbidden:
		return request.ErrForbidden
	default:
		return errors.Join(request.ErrUnavailable, err)
	}
}

// successor returns the incarnation that takes over the requests of the given
// one: its next successor in the fleet view, or else the one in its departure
// record on the platform.
func (a *attacher) successor(ctx context.Context, incarnation string) (string, bool) {
	if next, found := a.instance.view.Load().Fleet.NextSuccessor(incarnation); found && next != "" {
		return next, true
	}
	reply, err := a.instance.store.Do(ctx, objectapi.Get(objectapi.KindDeparture, incarnation))
	if err != nil {
		return "", false
	}
	var record departureRecord
	if err := json.Unmarshal(reply.Object.Value, &record); err != nil {
		return "", false
	}
	return record.Successor, record.Successor != ""
}

// attachLocal streams the events of a request of this instance. While the
// instance holds the request only as a handover copy, it retries every
// attachRetry, because the copy may be taken over.
func (i *Instance) attachLocal(
	ctx context.Context, id request.ID, team string, after uint64, yield func(request.Event) error,
) error {
	for {
		hadCopy := i.handoverTarget.HasCopy(id)
		err := i.registry.Attach(ctx, id, team, after, yield)
		if !errors.Is(err, request.ErrNotFound) || !hadCopy {
			return err
		}
		wait.For(ctx, attachRetry)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}
