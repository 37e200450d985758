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

// debugLogger logs the HTTP server's messages at debug level, since scripted
// faults break connections on purpose.
type debugLogger struct {
	lg *slog.Logger
}

func (d debugLogger) Printf(format string, args ...any) {
	d.lg.Debug("stand-in HTTP server message", "message", fmt.Sprintf(format, args...))
}
