package heartbeat

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/wire"
)

// Loop receives heartbeats on a gnet event loop and sends them from the same
// address. Send, Address and Close are safe for concurrent use.
type Loop struct {
	gnet.BuiltinEventEngine
	lg         *slog.Logger
	cfg        Config
	receive    func(*wire.Heartbeat)
	decoder    decoder
	bootResult chan error    // the result of the start, sent once
	stopped    chan struct{} // closed when the event loop has ended
	engine     gnet.Engine

	mu      sync.Mutex // guards the fields below
	encoder encoder
	// conn sends on a duplicate of the event loop's socket, because gnet can only
	// reply to received datagrams. It is nil before the start and after Close.
	conn *net.UDPConn
}

// NewLoop returns a Loop that is not started. receive is called on the event loop
// for each accepted heartbeat and must not block.
func NewLoop(lg *slog.Logger, cfg Config, receive func(*wire.Heartbeat)) (*Loop, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Loop{
		lg: lg, cfg: cfg, receive: receive,
		decoder:    decoder{mac: newMAC(cfg.Key), replays: newReplayFilter(), maxAge: cfg.MaxAge},
		encoder:    encoder{mac: newMAC(cfg.Key)},
		bootResult: make(chan error, 1), stopped: make(chan struct{}),
	}, nil
}

// Start binds the address and starts the event loop. It must be called only once.
func (l *Loop) Start(ctx context.Context) error {
	go func() {
		defer close(l.stopped)
		err := gnet.Run(l, "udp://"+l.cfg.Address,
			gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLogger{l.lg}), gnet.WithLogLevel(logging.WarnLevel))
		if err != nil {
			l.reportBoot(err)
		}
	}()
	select {
	case err := <-l.bootResult:
		if err != nil {
			return stepError("heartbeat/bind", l.cfg.Address, err)
		}
		return nil
	case <-ctx.Done():
		return stepError("heartbeat/bind", l.cfg.Address, ctx.Err())
	}
}

// OnBoot implements gnet.EventHandler.
func (l *Loop) OnBoot(engine gnet.Engine) gnet.Action {
	l.engine = engine
	conn, err := dupSocket(engine)
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	l.reportBoot(err)
	if err != nil {
		return gnet.Shutdown
	}
	return gnet.None
}

// reportBoot passes the result of the start to Start. Only the first result counts.
func (l *Loop) reportBoot(err error) {
	select {
	case l.bootResult <- err:
	default:
	}
}

// dupSocket returns a duplicate of the event loop's socket for sending.
func dupSocket(engine gnet.Engine) (*net.UDPConn, error) {
	fd, err := engine.Dup()
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "heartbeat")
	defer func() { _ = file.Close() }()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, err
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		_ = conn.Close()
		return nil, errors.New("heartbeat: the socket of the event loop is not a UDP socket")
	}
	return udp, nil
}

// OnTraffic implements gnet.EventHandler.
func (l *Loop) OnTraffic(conn gnet.Conn) gnet.Action {
	datagram, err := conn.Next(-1)
	if err != nil {
		return gnet.None
	}
	l.count("heartbeat_received_bytes_total", len(datagram))
	l.count("heartbeat_received_datagrams_total", 1)
	beat, err := l.decoder.decode(datagram, l.cfg.Now())
	if err != nil {
		l.count(dropCounter(err), 1)
		return gnet.None
	}
	l.receive(beat)
	return gnet.None
}

// dropCounter returns the name of the counter of datagrams dropped with err.
func dropCounter(err error) string {
	switch {
	case errors.Is(err, ErrAuthentication):
		return "heartbeat_dropped_authentication_total"
	case errors.Is(err, ErrReplayed):
		return "heartbeat_dropped_replayed_total"
	case errors.Is(err, ErrOld):
		return "heartbeat_dropped_old_total"
	default:
		return "heartbeat_dropped_malformed_total"
	}
}

// Send sends beat to each of the datagram addresses. It continues after a
// failure, because datagrams may be lost anyway: each failure is counted, and the
// last one is returned.
func (l *Loop) Send(addresses []string, beat *wire.Heartbeat) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return stepError("heartbeat/send", "", net.ErrClosed)
	}
	datagrams, err := l.encoder.encode(beat)
	if err != nil {
		return stepError("heartbeat/send", "", err)
	}
	var lastErr error
	for _, address := range addresses {
		for _, datagram := range datagrams {
			if err := l.sendTo(address, datagram); err != nil {
				lastErr = stepError("heartbeat/send", address, err)
			}
		}
	}
	return lastErr
}

func (l *Loop) sendTo(address string, datagram []byte) error {
	target, err := netip.ParseAddrPort(address)
	if err == nil {
		_, err = l.conn.WriteToUDPAddrPort(datagram, target)
	}
	if err != nil {
		l.count("heartbeat_send_failed_total", 1)
		return err
	}
	l.count("heartbeat_sent_bytes_total", len(datagram))
	l.count("heartbeat_sent_datagrams_total", 1)
	return nil
}

// Address returns the bound address, with the actual port if the configured port
// was 0. It returns "" before the start and after Close.
func (l *Loop) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return ""
	}
	return l.conn.LocalAddr().String()
}

// Close stops the event loop and waits until it has ended or ctx is done.
func (l *Loop) Close(ctx context.Context) error {
	l.mu.Lock()
	conn := l.conn
	l.conn = nil
	l.mu.Unlock()
	if conn == nil {
		return nil
	}
	_ = conn.Close()
	if err := l.engine.Stop(ctx); err != nil {
		return stepError("heartbeat/close", "", err)
	}
	select {
	case <-l.stopped:
		return nil
	case <-ctx.Done():
		return stepError("heartbeat/close", "", ctx.Err())
	}
}

func (l *Loop) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, l.cfg.Metrics).Inc(int64(n))
}
