package standin

import (
	"fmt"
	"log/slog"
	"net"
)

// trackingListener registers each accepted connection with its Server, so that Server.Close can close it.
type trackingListener struct {
	net.Listener
	server *Server
}

func (l trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c, ok := l.server.track(raw)
	if !ok {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// quietLogger logs the HTTP server's messages at debug level, since scripted
// faults break connections on purpose.
type quietLogger struct {
	lg *slog.Logger
}

func (q quietLogger) Printf(format string, args ...any) {
	q.lg.Debug("stand-in HTTP server message", "message", fmt.Sprintf(format, args...))
}
