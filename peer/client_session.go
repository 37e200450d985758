package peer

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/timeline"
)

// errStaleSession means that the session is closed or could not open a stream. newExchange returns it before the call is
// sent, and monitor closes an idle session with it as the cause.
var errStaleSession = errors.New("peer: session is closed")

// clientSession is the client side of one session.
type clientSession struct {
	lg       *slog.Logger
	cfg      Config
	address  string
	frameKey sessionKey
	mux      *yamux.Session
	watchdog watchdog
	// callsInProgress is a semaphore that holds one item per call in progress.
	callsInProgress chan struct{}
	// usedSinceTick is set by each call; monitor clears it to detect idle sessions.
	usedSinceTick atomic.Bool
	// onEnd is called once, when the session has ended.
	onEnd func()

	mu         sync.Mutex // guards closeCause
	closeCause error
}

func openSession(ctx context.Context, lg *slog.Logger, cfg Config, address string, onEnd func()) (*clientSession, error) {
	conn, err := cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn = countBytes(conn, cfg.Metrics)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	frameKey, err := clientHandshake(conn, cfg.Key, handshakeTimeout)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	mux, err := yamux.Client(conn, muxConfig(lg))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	s := &clientSession{
		lg: lg, cfg: cfg, address: address, frameKey: frameKey, mux: mux,
		callsInProgress: make(chan struct{}, cfg.MaxCalls), onEnd: onEnd,
	}
	s.watchdog.recordProgress()
	if err := s.startPings(); err != nil {
		_ = mux.Close()
		return nil, err
	}
	return s, nil
}

// startPings opens the stream for pings and starts the goroutines that send pings, read pongs and monitor the session.
func (s *clientSession) startPings() error {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return err
	}
	pings := newFramer(stream, stream.StreamID(), s.frameKey, true, s.cfg.MaxFrameBytes, s.watchdog.recordProgress)
	pingDue := make(chan struct{}, 1)
	go s.sendPings(pings, pingDue)
	go s.readPongs(pings)
	go s.monitor(pingDue)
	return nil
}

// sendPings runs separately from monitor because a write can block on an unresponsive connection.
func (s *clientSession) sendPings(pings *framer, pingDue <-chan struct{}) {
	for range pingDue {
		if err := pings.write(framePing, nil); err != nil {
			return
		}
	}
}

// readPongs reads frames until the stream fails. The framer reports each frame to the watchdog; readPongs does not check
// its kind.
func (s *clientSession) readPongs(pings *framer) {
	for {
		if _, _, err := pings.read(); err != nil {
			s.closeOnViolation(err)
			return
		}
	}
}

// monitor closes the session when it times out or is idle, and schedules the pings.
func (s *clientSession) monitor(pingDue chan<- struct{}) {
	defer s.onEnd()
	defer close(pingDue)
	ticks, stop := s.cfg.Ticks(tickInterval)
	defer stop()
	idleTicks := 0
	for n := 0; ; n++ {
		if n%int(pingInterval/tickInterval) == 0 {
			select {
			case pingDue <- struct{}{}:
			default:
			}
		}
		select {
		case <-s.mux.CloseChan():
			return
		case <-ticks:
		}
		if s.watchdog.tick() {
			s.abandon()
			return
		}
		idleTicks = s.nextIdleTicks(idleTicks)
		if time.Duration(idleTicks)*tickInterval >= s.cfg.IdleTimeout {
			s.close(errStaleSession)
			return
		}
	}
}

func (s *clientSession) nextIdleTicks(previous int) int {
	if s.usedSinceTick.Swap(false) || len(s.callsInProgress) > 0 {
		return 0
	}
	return previous + 1
}

// abandon closes a session that has timed out. The next call opens a new one.
func (s *clientSession) abandon() {
	metrics.GetOrRegisterCounter("peer_sessions_abandoned_total", s.cfg.Metrics).Inc(1)
	s.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindPeerTimeout, Peer: s.address, Step: "peer/session"})
	s.lg.Warn("peer session received no frame within the timeout; closing it", "step", "peer/session", "peer", s.address)
	s.close(ErrSessionTimeout)
}

// closeOnViolation closes the session if err is an authentication, frame size or protocol error, which means that the
// peer is faulty or has a larger frame limit, or that a frame was altered. Its callers pass the errors of framer.read,
// which are never ErrProtocol.
func (s *clientSession) closeOnViolation(err error) {
	if errors.Is(err, ErrAuthentication) || errors.Is(err, ErrFrameTooLarge) || errors.Is(err, ErrProtocol) {
		s.lg.Error("peer session failed", "step", "peer/session", "peer", s.address, "error", err)
		s.close(err)
	}
}

// close ends the session. If it is called more than once, causeOr returns the cause of the first call.
func (s *clientSession) close(cause error) {
	s.mu.Lock()
	if s.closeCause == nil {
		s.closeCause = cause
	}
	s.mu.Unlock()
	_ = s.mux.Close()
}

// causeOr returns the cause with which the session was closed, or err if there is none.
func (s *clientSession) causeOr(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeCause != nil {
		return s.closeCause
	}
	return err
}
