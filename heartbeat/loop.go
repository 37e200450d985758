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

// Loop receives datagrams on a gnet event loop and sends them from the same
// address.
type Loop struct {
	gnet.BuiltinEventEngine
	lg      *slog.Logger
	cfg     Config
	receive func(*wire.Heartbeat)
	opener  opener
	booted  chan error
	stopped chan struct{}
	engine  gnet.Engine

	mu     sync.Mutex // guards the fields below
	sealer sealer
	// out shares the event loop's socket; gnet itself can only answer datagrams.
	out *net.UDPConn
}

// NewLoop returns a Loop. receive is called on the event loop for each
// heartbeat of another instance and must not block.
func NewLoop(lg *slog.Logger, cfg Config, receive func(*wire.Heartbeat)) (*Loop, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Loop{
		lg: lg, cfg: cfg, receive: receive,
		opener: opener{mac: newMAC(cfg.Key), seen: newWindows(), maxAge: cfg.MaxAge},
		sealer: sealer{mac: newMAC(cfg.Key)},
		booted: make(chan error, 1), stopped: make(chan struct{}),
	}, nil
}

// Start binds the address and starts the event loop. It is called once.
func (l *Loop) Start(ctx context.Context) error {
	go func() {
		defer close(l.stopped)
		err := gnet.Run(l, "udp://"+l.cfg.Address,
			gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLogger{l.lg}), gnet.WithLogLevel(logging.WarnLevel))
		if err != nil {
			l.boot(err)
		}
	}()
	select {
	case err := <-l.booted:
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
	out, err := outgoing(engine)
	l.mu.Lock()
	l.out = out
	l.mu.Unlock()
	l.boot(err)
	if err != nil {
		return gnet.Shutdown
	}
	return gnet.None
}

func (l *Loop) boot(err error) {
	select {
	case l.booted <- err:
	default:
	}
}

// outgoing returns a second handle of the event loop's socket for sending.
func outgoing(engine gnet.Engine) (*net.UDPConn, error) {
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
		return nil, errors.New("heartbeat: not a UDP socket")
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
	beat, err := l.opener.open(datagram, l.cfg.Now())
	if err != nil {
		l.count(dropCounter(err), 1)
		return gnet.None
	}
	l.receive(beat)
	return gnet.None
}

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

// Send sends beat to each of the datagram addresses. Datagrams may be lost
// anyway, so a failure to send is counted, and only the last one is returned.
func (l *Loop) Send(to []string, beat *wire.Heartbeat) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil {
		return stepError("heartbeat/send", "", net.ErrClosed)
	}
	datagrams, err := l.sealer.seal(beat)
	if err != nil {
		return stepError("heartbeat/send", "", err)
	}
	var failed error
	for _, address := range to {
		for _, datagram := range datagrams {
			if err := l.sendOne(address, datagram); err != nil {
				failed = stepError("heartbeat/send", address, err)
			}
		}
	}
	return failed
}

func (l *Loop) sendOne(address string, datagram []byte) error {
	target, err := netip.ParseAddrPort(address)
	if err == nil {
		_, err = l.out.WriteToUDPAddrPort(datagram, target)
	}
	if err != nil {
		l.count("heartbeat_send_failed_total", 1)
		return err
	}
	l.count("heartbeat_sent_bytes_total", len(datagram))
	l.count("heartbeat_sent_datagrams_total", 1)
	return nil
}

// Address returns the bound address, also when the configured port was 0.
func (l *Loop) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out == nil {
		return ""
	}
	return l.out.LocalAddr().String()
}

// Close stops the event loop and waits for it until ctx ends.
func (l *Loop) Close(ctx context.Context) error {
	l.mu.Lock()
	out := l.out
	l.out = nil
	l.mu.Unlock()
	if out == nil {
		return nil
	}
	_ = out.Close()
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
