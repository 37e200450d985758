package peer

import (
	"context"
	"log/slog"
	"sync/atomic"
)

// slot holds the one session to an address, from the start of its opening.
type slot struct {
	// ready is closed when session or err is set; neither changes afterwards.
	ready   chan struct{}
	session *clientSession
	err     error
	// aborted: the client closed while the session was being opened.
	aborted atomic.Bool
}

func newSlot() *slot {
	return &slot{ready: make(chan struct{})}
}

// open opens the session; ended is called when there is none or it has ended.
func (s *slot) open(lg *slog.Logger, cfg Config, address string, ended func()) {
	defer close(s.ready)
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	s.session, s.err = openSession(ctx, lg, cfg, address, ended)
	if s.err != nil {
		ended()
		return
	}
	if s.aborted.Load() {
		s.session.close(ErrClosed)
	}
}

// ended reports whether the slot can no longer give a session.
func (s *slot) ended() bool {
	select {
	case <-s.ready:
		return s.err != nil || s.session.mux.IsClosed()
	default:
		return false
	}
}

// close ends the session, also when it is still being opened.
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
