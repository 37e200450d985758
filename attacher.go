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

// attacher gives the events of requests of any entry instance. It follows the
// successors of instances that have left.
type attacher struct {
	instance *Instance
}

// Bounds of the search for a request.
const (
	// maxSuccessors bounds the chain of instances that handed a request on.
	maxSuccessors = 16
	// attachRetry is the wait before an instance that did not answer is asked again.
	attachRetry = 200 * time.Millisecond
	// attachPatience bounds the search while a handover is under way: a break
	// of the session takes 2 s to be acted on, a silent one 6 s to be noticed.
	attachPatience = 10 * time.Second
)

// Attach implements request.Attacher.
func (a *attacher) Attach(
	ctx context.Context, id request.ID, team string, after uint64, yield func(request.Event) error,
) error {
	position := after
	counted := func(event request.Event) error {
		if err := yield(event); err != nil {
			return &yieldError{err: err}
		}
		position = event.ID
		return nil
	}
	giveUp := time.Now().Add(attachPatience)
	for {
		err := a.attachOnce(ctx, id, team, position, counted)
		var stopped *yieldError
		switch {
		case errors.As(err, &stopped):
			return stopped.err
		case err == nil, errors.Is(err, request.ErrForbidden), ctx.Err() != nil:
			return err
		case time.Now().After(giveUp):
			return err
		}
		wait.For(ctx, attachRetry)
	}
}

// yieldError marks an error of the reader, which ends the search.
type yieldError struct {
	err error
}

func (e *yieldError) Error() string { return e.err.Error() }

// attachOnce asks the home of the request and then its successors.
func (a *attacher) attachOnce(
	ctx context.Context, id request.ID, team string, after uint64, yield func(request.Event) error,
) error {
	owner := id.Incarnation
	var failure error
	for range maxSuccessors {
		err := a.attachAt(ctx, owner, id, team, after, yield)
		var stopped *yieldError
		if err == nil || errors.Is(err, request.ErrForbidden) || errors.As(err, &stopped) || ctx.Err() != nil {
			return err
		}
		failure = errors.Join(failure, err)
		next, found := a.successor(ctx, owner)
		if !found || next == owner {
			return failure
		}
		owner = next
	}
	return failure
}

func (a *attacher) attachAt(
	ctx context.Context, owner string, id request.ID, team string, after uint64, yield func(request.Event) error,
) error {
	if owner == a.instance.incarnation {
		return a.instance.attachHere(ctx, id, team, after, yield)
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
	return remoteAttachError(err)
}

func remoteAttachError(err error) error {
	var remote *peer.RemoteError
	var stopped *yieldError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &stopped):
		return stopped
	case errors.As(err, &remote) && remote.Code == peer.CodeNotFound:
		return request.ErrNotFound
	case errors.As(err, &remote) && remote.Code == peer.CodeForbidden:
		return request.ErrForbidden
	default:
		return errors.Join(request.ErrUnavailable, err)
	}
}

// successor returns who is to be asked after an instance that has not got the
// request any more: from the heartbeats, else from the departure record on the
// platform.
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

// attachHere gives the events of a request of this instance. It waits while
// the request is here only as a copy that may be taken over.
func (i *Instance) attachHere(
	ctx context.Context, id request.ID, team string, after uint64, yield func(request.Event) error,
) error {
	for {
		held := i.host.HasCopy(id)
		err := i.registry.Attach(ctx, id, team, after, yield)
		if !errors.Is(err, request.ErrNotFound) || !held {
			return err
		}
		wait.For(ctx, attachRetry)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}
