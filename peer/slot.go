package peer

import (
	"context"
	"log/slog"
	"sync/atomic"
)

// slot holds the session to one address, also while the session is still being opened.
type slot struct {
	// ready is closed once session or err is set. Neither changes afterwards.
	ready   chan struct{}
	session *clientSession
	err     error
	// aborted is set when the client is closed, so that a session that is still being opened is closed afterwards.
	aborted atomic.Bool
}

func newSlot() *slot {
	return &slot{ready: make(chan struct{})}
}

// open opens the session. onEnd is called when opening fails and when the session has ended.
func (s *slot) open(lg *slog.Logger, cfg Config, address string, onEnd func()) {
	defer close(s.ready)
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	s.session, s.err = openSession(ctx, lg, cfg, address, onEnd)
	if s.err != nil {
		onEnd()
		return
	}
	if s.aborted.Load() {
		s.session.close(ErrClosed)
	}
}

// ended reports whether opening the session failed or the session has ended.
func (s *slot) ended() bool {
	select {
	case <-s.ready:
		return s.err != nil || s.session.mux.IsClosed()
	default:
		return false
	}
}

// close closes the session, or marks it to be closed as soon as it is open.
func (s *slot) close() {
	s.aborted.Store(true)
	select {
	case <-s.ready:
		if s.err == nil {
			s.session.close(ErrClosed)
		}
	default:
	}
}
