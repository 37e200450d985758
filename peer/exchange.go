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
	stop    func() bool
}

// exchange opens a stream; it waits while the session has its most streams.
func (s *clientSession) exchange(ctx context.Context) (*exchange, error) {
	select {
	case s.streams <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.mux.CloseChan():
		return nil, errStaleSession
	}
	s.used.Store(true)
	stream, err := s.mux.OpenStream()
	if err != nil {
		<-s.streams
		return nil, fmt.Errorf("%w: %w", errStaleSession, s.endedBy(err))
	}
	e := &exchange{session: s, stream: stream}
	e.frames = newFramer(stream, stream.StreamID(), s.keys, true, s.cfg.MaxFrameBytes, s.dog.progress)
	e.stop = context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	return e, nil
}

// send writes the call. After an error part of it may have arrived.
func (e *exchange) send(ctx context.Context, kind frameKind, call *wire.Call) error {
	if err := ctx.Err(); err != nil {
		return stepError("peer/send", e.session.address, fmt.Errorf("%w: %w", ErrNotSent, err))
	}
	written := make(chan error, 1)
	// A write to a silent connection can block longer than ctx allows.
	go func() { written <- e.frames.write(kind, call) }()
	var err error
	select {
	case err = <-written:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return e.uncertain(ctx, "peer/send", err)
	}
	return nil
}

// receive returns the next answer, which must be of one of the given kinds.
func (e *exchange) receive(ctx context.Context, kinds ...frameKind) (frameKind, *wire.Answer, error) {
	kind, payload, err := e.frames.read()
	if err != nil {
		e.session.fail(err)
		return 0, nil, e.uncertain(ctx, "peer/receive", err)
	}
	answer := &wire.Answer{}
	err = proto.Unmarshal(payload, answer)
	if err == nil && !slices.Contains(kinds, kind) {
		err = ErrProtocol
	}
	if err != nil {
		return 0, nil, e.uncertain(ctx, "peer/receive", err)
	}
	e.session.cfg.observe(answer.GetWallMs(), answer.GetLogical())
	if answer.GetFailure() != nil {
		return 0, nil, stepError("peer/answer", e.session.address, errorOf(answer.GetFailure()))
	}
	return kind, answer, nil
}

func (e *exchange) uncertain(ctx context.Context, step string, err error) error {
	cause := e.session.endedBy(err)
	if ctx.Err() != nil {
		cause = ctx.Err()
	} else if errors.Is(cause, io.EOF) {
		cause = fmt.Errorf("connection closed by the peer: %w", cause)
	}
	return stepError(step, e.session.address, fmt.Errorf("%w: %w", ErrUncertain, cause))
}

// end releases the stream; an unfinished call is cancelled at the peer. The
// close writes a frame, which can block on a silent connection.
func (e *exchange) end() {
	e.stop()
	go func() {
		_ = e.stream.Close()
		<-e.session.streams
	}()
}
