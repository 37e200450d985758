// Package listen opens listeners that outlast errors of single connections.
package listen

import (
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/samber/oops"
)

const (
	// retryPause is the time between two attempts to accept a connection after an error.
	retryPause = 20 * time.Millisecond
	// logInterval is the shortest time between two log lines about errors.
	logInterval = time.Second
)

// Listener is a net.Listener whose Accept fails only when the listener is closed. Other errors, such as a lack of
// descriptors or memory, are logged, and Accept tries again. Accept must be called by one goroutine at a time.
type Listener struct {
	net.Listener
	lg       *slog.Logger
	purpose  string
	loggedAt time.Time
	// failures is the number of errors since loggedAt.
	failures int
}

// New returns a Listener on ln. purpose is the attribute of its log lines.
func New(lg *slog.Logger, ln net.Listener, purpose string) *Listener {
	return &Listener{Listener: ln, lg: lg, purpose: purpose}
}

// TCP listens at an IPv4 address with a port.
func TCP(lg *slog.Logger, address, purpose string) (*Listener, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, oops.With("step", "listen", "purpose", purpose).Wrap(err)
	}
	return New(lg, ln, purpose), nil
}

// Accept implements net.Listener. It returns net.ErrClosed when the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.logFailure(err)
		time.Sleep(retryPause)
	}
}

func (l *Listener) logFailure(err error) {
	l.failures++
	if now := time.Now(); now.Sub(l.loggedAt) >= logInterval {
		l.lg.Warn("connection not accepted", "purpose", l.purpose, "failures", l.failures, "error", err.Error())
		l.loggedAt, l.failures = now, 0
	}
}
