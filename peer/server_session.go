package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"

	"github.com/hashicorp/yamux"
	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

// serverSession is the answering side of one session.
type serverSession struct {
	lg      *slog.Logger
	cfg     Config
	handler Handler
	peer    string
	keys    sessionKeys
	mux     *yamux.Session
	dog     watchdog
	// streams holds one item per call in progress.
	streams chan struct{}
	// ctx ends with the session.
	ctx    context.Context
	cancel context.CancelFunc
}

func acceptSession(lg *slog.Logger, cfg Config, handler Handler, conn net.Conn) (*serverSession, error) {
	keys, err := serverHandshake(conn, cfg.Key, handshakeTimeout)
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Server(conn, muxConfig(lg))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &serverSession{
		lg: lg, cfg: cfg, handler: handler, peer: conn.RemoteAddr().String(), keys: keys, mux: mux,
		streams: make(chan struct{}, cfg.MaxStreams), ctx: ctx, cancel: cancel,
	}
	s.dog.progress()
	return s, nil
}

// run answers streams until the session ends, and waits for their goroutines.
func (s *serverSession) run() {
	var running sync.WaitGroup
	running.Go(s.watch)
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			break
		}
		// Streams beyond the limit are answered with a refusal; twice the limit is an abuse.
		if s.mux.NumStreams() > 2*s.cfg.MaxStreams+1 {
			s.lg.Error("too many streams; closing the session", "step", "peer/accept", "peer", s.peer)
			break
		}
		running.Go(func() { s.serve(stream) })
	}
	s.cancel()
	_ = s.mux.Close()
	running.Wait()
}

// watch ends the session when the client's pings stop.
func (s *serverSession) watch() {
	ticks, stop := s.cfg.Ticks(tickInterval)
	defer stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-ticks:
		}
		if s.dog.tick() {
			metrics.GetOrRegisterCounter("peer_sessions_abandoned_total", s.cfg.Metrics).Inc(1)
			s.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindSilence, Peer: s.peer, Step: "peer/accept"})
			_ = s.mux.Close()
			return
		}
	}
}

// serve answers one stream: a call, or the client's pings.
func (s *serverSession) serve(stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	frames := newFramer(stream, stream.StreamID(), s.keys, false, s.cfg.MaxFrameBytes, s.dog.progress)
	kind, payload, err := frames.read()
	for err == nil && kind == framePing {
		if err = frames.write(framePong, nil); err == nil {
			kind, payload, err = frames.read()
		}
	}
	if err == nil && kind != frameCall && kind != frameStream {
		err = ErrProtocol
	}
	call := &wire.Call{}
	if err == nil {
		err = proto.Unmarshal(payload, call)
	}
	if err != nil {
		s.fail(err)
		return
	}
	s.answer(frames, kind, call)
}

// fail ends the session after an error that the other side must have caused.
func (s *serverSession) fail(err error) {
	if errors.Is(err, ErrAuthentication) || errors.Is(err, ErrFrameTooLarge) || errors.Is(err, ErrProtocol) {
		metrics.GetOrRegisterCounter("peer_frames_refused_total", s.cfg.Metrics).Inc(1)
		s.lg.Error("peer session failed", "step", "peer/receive", "peer", s.peer, "error", err)
		_ = s.mux.Close()
	}
}

// answer runs the handler and writes what it returns.
func (s *serverSession) answer(frames *framer, kind frameKind, call *wire.Call) {
	select {
	case s.streams <- struct{}{}:
		defer func() { <-s.streams }()
	default:
		busy := &RemoteError{Code: CodeUnavailable, Step: "peer/accept", Message: "too many calls in progress"}
		s.finish(frames, kind, nil, busy)
		return
	}
	s.cfg.observe(call.GetWallMs(), call.GetLogical())
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	go s.cancelOnEnd(frames, cancel)
	if kind == frameCall {
		answer, err := s.handler.Call(ctx, call)
		s.finish(frames, kind, answer, err)
		return
	}
	err := s.handler.Stream(ctx, call, func(item *wire.Answer) error {
		return frames.write(frameAnswer, s.cfg.stampAnswer(item))
	})
	s.finish(frames, kind, nil, err)
}

// cancelOnEnd cancels a call when its caller closes the stream.
func (s *serverSession) cancelOnEnd(frames *framer, cancel context.CancelFunc) {
	_, _, err := frames.read()
	s.fail(err)
	cancel()
}

// finish writes the last frame of a call. When it cannot be written the
// session has ended, and the caller sees that.
func (s *serverSession) finish(frames *framer, kind frameKind, answer *wire.Answer, err error) {
	if answer == nil {
		answer = &wire.Answer{}
	}
	if err != nil {
		answer = &wire.Answer{Failure: failureOf(err)}
	}
	last := frameAnswer
	if kind == frameStream {
		last = frameEnd
	}
	writeErr := frames.write(last, s.cfg.stampAnswer(answer))
	if errors.Is(writeErr, ErrFrameTooLarge) {
		failure := failureOf(&RemoteError{Code: CodeUnavailable, Step: "peer/answer", Message: writeErr.Error()})
		_ = frames.write(last, s.cfg.stampAnswer(&wire.Answer{Failure: failure}))
	}
}
