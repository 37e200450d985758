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

// serverSession is the server side of one session.
type serverSession struct {
	lg       *slog.Logger
	cfg      Config
	handler  Handler
	peer     string
	frameKey sessionKey
	mux      *yamux.Session
	watchdog watchdog
	// callsInProgress is a semaphore that holds one item per call in progress.
	callsInProgress chan struct{}
	// ctx is cancelled when the session ends.
	ctx    context.Context
	cancel context.CancelFunc
}

func acceptSession(lg *slog.Logger, cfg Config, handler Handler, conn net.Conn) (*serverSession, error) {
	frameKey, err := serverHandshake(conn, cfg.Key, handshakeTimeout)
	if err != nil {
		return nil, err
	}
	mux, err := yamux.Server(conn, muxConfig(lg))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &serverSession{
		lg: lg, cfg: cfg, handler: handler, peer: conn.RemoteAddr().String(), frameKey: frameKey, mux: mux,
		callsInProgress: make(chan struct{}, cfg.MaxCalls), ctx: ctx, cancel: cancel,
	}
	s.watchdog.recordProgress()
	return s, nil
}

// run serves streams until the session ends, and then waits for their goroutines.
func (s *serverSession) run() {
	var running sync.WaitGroup
	running.Go(s.monitor)
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			break
		}
		// Calls beyond MaxCalls are refused with CodeUnavailable. A client with more than twice as many streams is
		// faulty or hostile, and its session is closed.
		if s.mux.NumStreams() > 2*s.cfg.MaxCalls+1 {
			s.lg.Error("peer has more than twice the allowed number of streams open; closing the session", "step", "peer/accept", "peer", s.peer)
			break
		}
		running.Go(func() { s.serveStream(stream) })
	}
	s.cancel()
	_ = s.mux.Close()
	running.Wait()
}

// monitor closes the session when no frame, not even a ping, is received from the client within sessionTimeout.
func (s *serverSession) monitor() {
	ticks, stop := s.cfg.Ticks(tickInterval)
	defer stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-ticks:
		}
		if s.watchdog.tick() {
			metrics.GetOrRegisterCounter("peer_sessions_abandoned_total", s.cfg.Metrics).Inc(1)
			s.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindPeerTimeout, Peer: s.peer, Step: "peer/accept"})
			_ = s.mux.Close()
			return
		}
	}
}

// serveStream serves one stream, which carries either a call or the client's pings.
func (s *serverSession) serveStream(stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	frames := newFramer(stream, stream.StreamID(), s.frameKey, false, s.cfg.MaxFrameBytes, s.watchdog.recordProgress)
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
		s.closeOnViolation(err)
		return
	}
	s.handleCall(frames, kind, call)
}

// closeOnViolation closes the session if err is an authentication, frame size or protocol error, which means that the
// client is faulty or has a larger frame limit, or that a frame was altered.
func (s *serverSession) closeOnViolation(err error) {
	if errors.Is(err, ErrAuthentication) || errors.Is(err, ErrFrameTooLarge) || errors.Is(err, ErrProtocol) {
		metrics.GetOrRegisterCounter("peer_frames_refused_total", s.cfg.Metrics).Inc(1)
		s.lg.Error("peer session failed", "step", "peer/receive", "peer", s.peer, "error", err)
		_ = s.mux.Close()
	}
}

// handleCall runs the handler and writes its result.
func (s *serverSession) handleCall(frames *framer, kind frameKind, call *wire.Call) {
	select {
	case s.callsInProgress <- struct{}{}:
		defer func() { <-s.callsInProgress }()
	default:
		busy := &RemoteError{Code: CodeUnavailable, Step: "peer/accept", Message: "too many calls in progress"}
		s.writeResult(frames, kind, nil, busy)
		return
	}
	s.cfg.observe(call.GetWallMs(), call.GetLogical())
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	go s.cancelOnStreamEnd(frames, cancel)
	if kind == frameCall {
		answer, err := s.handler.Call(ctx, call)
		s.writeResult(frames, kind, answer, err)
		return
	}
	err := s.handler.Stream(ctx, call, func(item *wire.Answer) error {
		return frames.write(frameAnswer, s.cfg.stampAnswer(item))
	})
	s.writeResult(frames, kind, nil, err)
}

// cancelOnStreamEnd cancels a call when its caller closes the stream or the session ends.
func (s *serverSession) cancelOnStreamEnd(frames *framer, cancel context.CancelFunc) {
	_, _, err := frames.read()
	s.closeOnViolation(err)
	cancel()
}

// writeResult writes the last frame of a call. If the frame is too large, it
// sends a failure instead. Other write errors are ignored: the stream is closed
// afterwards, and the caller gets an error from its own side of the session.
func (s *serverSession) writeResult(frames *framer, kind frameKind, answer *wire.Answer, err error) {
	if answer == nil {
		answer = &wire.Answer{}
	}
	if err != nil {
		answer = &wire.Answer{Failure: failureFromError(err)}
	}
	finalKind := frameAnswer
	if kind == frameStream {
		finalKind = frameEnd
	}
	writeErr := frames.write(finalKind, s.cfg.stampAnswer(answer))
	if errors.Is(writeErr, ErrFrameTooLarge) {
		failure := failureFromError(&RemoteError{Code: CodeUnavailable, Step: "peer/answer", Message: writeErr.Error()})
		_ = frames.write(finalKind, s.cfg.stampAnswer(&wire.Answer{Failure: failure}))
	}
}
