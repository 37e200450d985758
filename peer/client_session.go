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

// errStaleSession: the session ended before anything was sent on it.
var errStaleSession = errors.New("peer: session ended")

// clientSession is the calling side of one session.
type clientSession struct {
	lg      *slog.Logger
	cfg     Config
	address string
	keys    sessionKeys
	mux     *yamux.Session
	dog     watchdog
	// streams holds one item per call in progress.
	streams chan struct{}
	// used is set by each call; watch clears it to find idle sessions.
	used atomic.Bool
	// ended is called once when the session has ended.
	ended func()

	mu    sync.Mutex // guards cause
	cause error
}

func openSession(ctx context.Context, lg *slog.Logger, cfg Config, address string, ended func()) (*clientSession, error) {
	conn, err := cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn = countBytes(conn, cfg.Metrics)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	keys, err := clientHandshake(conn, cfg.Key, handshakeTimeout)
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
		lg: lg, cfg: cfg, address: address, keys: keys, mux: mux,
		streams: make(chan struct{}, cfg.MaxStreams), ended: ended,
	}
	s.dog.progress()
	if err := s.startPings(); err != nil {
		_ = mux.Close()
		return nil, err
	}
	return s, nil
}

// startPings opens the control stream and starts the goroutines that ping and watch.
func (s *clientSession) startPings() error {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return err
	}
	control := newFramer(stream, stream.StreamID(), s.keys, true, s.cfg.MaxFrameBytes, s.dog.progress)
	due := make(chan struct{}, 1)
	go s.ping(control, due)
	go s.readPongs(control)
	go s.watch(due)
	return nil
}

// ping is separate from watch because a write can block on a silent connection.
func (s *clientSession) ping(control *framer, due <-chan struct{}) {
	for range due {
		if err := control.write(framePing, nil); err != nil {
			return
		}
	}
}

func (s *clientSession) readPongs(control *framer) {
	for {
		if _, _, err := control.read(); err != nil {
			s.fail(err)
			return
		}
	}
}

// watch abandons the session when it is silent and closes it when it is idle.
func (s *clientSession) watch(due chan<- struct{}) {
	defer s.ended()
	defer close(due)
	ticks, stop := s.cfg.Ticks(tickInterval)
	defer stop()
	idle := 0
	for n := 0; ; n++ {
		if n%int(pingInterval/tickInterval) == 0 {
			select {
			case due <- struct{}{}:
			default:
			}
		}
		select {
		case <-s.mux.CloseChan():
			return
		case <-ticks:
		}
		if s.dog.tick() {
			s.abandon()
			return
		}
		idle = s.idleTicks(idle)
		if time.Duration(idle)*tickInterval >= s.cfg.Idle {
			s.close(errStaleSession)
			return
		}
	}
}

func (s *clientSession) idleTicks(before int) int {
	if s.used.Swap(false) || len(s.streams) > 0 {
		return 0
	}
	return before + 1
}

// abandon closes a silent session; the next call opens a new one.
func (s *clientSession) abandon() {
	metrics.GetOrRegisterCounter("peer_sessions_abandoned_total", s.cfg.Metrics).Inc(1)
	s.cfg.Recorder.Record(timeline.Event{Kind: timeline.KindSilence, Peer: s.address, Step: "peer/session"})
	s.lg.Warn("peer session went silent; abandoning it", "step", "peer/session", "peer", s.address)
	s.close(ErrSilent)
}

// fail ends the session after an error that leaves it unusable.
func (s *clientSession) fail(err error) {
	if errors.Is(err, ErrAuthentication) || errors.Is(err, ErrFrameTooLarge) || errors.Is(err, ErrProtocol) {
		s.lg.Error("peer session failed", "step", "peer/session", "peer", s.address, "error", err)
		s.close(err)
	}
}

// close ends the session; the first cause is the one that callers see.
func (s *clientSession) close(cause error) {
	s.mu.Lock()
	if s.cause == nil {
		s.cause = cause
	}
	s.mu.Unlock()
	_ = s.mux.Close()
}

// endedBy returns why the session ended, or err when it has not.
func (s *clientSession) endedBy(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cause != nil {
		return s.cause
	}
	return err
}
