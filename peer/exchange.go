package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"knapweedhoist/wire"
)

// exchange is one call on a session.
type exchange struct {
	session *clientSession
	stream  *yamux.Stream
	frames  *framer
	// stopContextHook removes the hook that aborts reads and writes of the stream when the context of the call ends.
	stopContextHook func() bool
}

// newExchange opens a stream. It blocks while the session has MaxCalls calls in progress.
func (s *clientSession) newExchange(ctx context.Context) (*exchange, error) {
	select {
	case s.callsInProgress <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.mux.CloseChan():
		return nil, errStaleSession
	}
	s.usedSinceTick.Store(true)
	stream, err := s.mux.OpenStream()
	if err != nil {
		<-s.callsInProgress
		return nil, fmt.Errorf("%w: %w", errStaleSession, s.causeOr(err))
	}
	e := &exchange{session: s, stream: stream}
	e.frames = newFramer(stream, stream.StreamID(), s.frameKey, true, s.cfg.MaxFrameBytes, s.watchdog.recordProgress)
	e.stopContextHook = context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	return e, nil
}

// send writes the call. If it returns ErrUncertain, the peer may have received the call.
func (e *exchange) send(ctx context.Context, kind frameKind, call *wire.Call) error {
	if err := ctx.Err(); err != nil {
		return stepError("peer/send", e.session.address, fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	written := make(chan error, 1)
	// A write to an unresponsive connection can block beyond the end of ctx.
	go func() { written <- e.frames.write(kind, call) }()
	var err error
	select {
	case err = <-written:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return e.uncertainError(ctx, "peer/send", err)
	}
	return nil
}

// receive returns the next answer, whose frame must be of one of the given kinds.
func (e *exchange) receive(ctx context.Context, kinds ...frameKind) (frameKind, *wire.Answer, error) {
	kind, payload, err := e.frames.read()
	if err != nil {
		e.session.closeOnViolation(err)
		return 0, nil, e.uncertainError(ctx, "peer/receive", err)
	}
	answer := &wire.Answer{}
	err = proto.Unmarshal(payload, answer)
	if err == nil && !slices.Contains(kinds, kind) {
		err = ErrProtocol
	}
	if err != nil {
		return 0, nil, e.uncertainError(ctx, "peer/receive", err)
	}
	e.session.cfg.observe(answer.GetWallMs(), answer.GetLogical())
	if answer.GetFailure() != nil {
		return 0, nil, stepError("peer/answer", e.session.address, errorFromFailure(answer.GetFailure()))
	}
	return kind, answer, nil
}

// uncertainError returns an error that wraps ErrUncertain and the cause of the failure: the end of ctx, the reason for
// which the session was closed, or otherwise err.
func (e *exchange) uncertainError(ctx context.Context, step string, err error) error {
	cause := e.session.causeOr(err)
	if ctx.Err() != nil {
		cause = ctx.Err()
	} else if errors.Is(cause, io.EOF) {
		cause = fmt.Errorf("connection closed by the peer: %w", cause)
	}
	return stepError(step, e.session.address, fmt.Errorf("%w: %w", ErrUncertain, cause))
}

// release closes the stream, which cancels an unfinished call at the peer. It
// closes in the background, because closing writes a frame and can block on an
// unresponsive connection.
func (e *exchange) release() {
	e.stopContextHook()
	go func() {
		_ = e.stream.Close()
		<-e.session.callsInProgress
	}()
}
