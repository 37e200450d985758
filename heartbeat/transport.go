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

// Transport receives heartbeats on a gnet event loop and sends them from the same
// address. Send, Address and Close are safe for concurrent use.
type Transport struct {
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

// NewTransport returns a Transport that is not started. receive is called on the
// event loop for each accepted heartbeat and must not block.
func NewTransport(lg *slog.Logger, cfg Config, receive func(*wire.Heartbeat)) (*Transport, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Transport{
		lg: lg, cfg: cfg, receive: receive,
		decoder:    decoder{mac: newMAC(cfg.Key), replays: newReplayFilter(), maxAge: cfg.MaxAge},
		encoder:    encoder{mac: newMAC(cfg.Key)},
		bootResult: make(chan error, 1), stopped: make(chan struct{}),
	}, nil
}

// Start binds the address and starts the event loop. It must be called only once.
func (t *Transport) Start(ctx context.Context) error {
	go func() {
		defer close(t.stopped)
		err := gnet.Run(t, "udp://"+t.cfg.Address,
			gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLogger{t.lg}), gnet.WithLogLevel(logging.WarnLevel))
		if err != nil {
			t.reportBoot(err)
		}
	}()
	select {
	case err := <-t.bootResult:
		if err != nil {
			return stepError("heartbeat/bind", t.cfg.Address, err)
		}
		return nil
	case <-ctx.Done():
		return stepError("heartbeat/bind", t.cfg.Address, ctx.Err())
	}
}

// OnBoot implements gnet.EventHandler.
func (t *Transport) OnBoot(engine gnet.Engine) gnet.Action {
	t.engine = engine
	conn, err := dupSocket(engine)
	t.mu.Lock()
	t.conn = conn
	t.mu.Unlock()
	t.reportBoot(err)
	if err != nil {
		return gnet.Shutdown
	}
	return gnet.None
}

// reportBoot passes the result of the start to Start. Only the first result counts.
func (t *Transport) reportBoot(err error) {
	select {
	case t.bootResult <- err:
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
func (t *Transport) OnTraffic(conn gnet.Conn) gnet.Action {
	datagram, err := conn.Next(-1)
	if err != nil {
		return gnet.None
	}
	t.count("heartbeat_received_bytes_total", len(datagram))
	t.count("heartbeat_received_datagrams_total", 1)
	beat, err := t.decoder.decode(datagram, t.cfg.Now())
	if err != nil {
		t.count(dropCounter(err), 1)
		return gnet.None
	}
	t.receive(beat)
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
// datagram that cannot be sent, because datagrams may be lost anyway: each such failure
// is counted, and the last one is returned.
func (t *Transport) Send(addresses []string, beat *wire.Heartbeat) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return stepError("heartbeat/send", "", net.ErrClosed)
	}
	datagrams, err := t.encoder.encode(beat)
	if err != nil {
		return stepError("heartbeat/send", "", err)
	}
	var lastErr error
	for _, address := range addresses {
		for _, datagram := range datagrams {
			if err := t.sendTo(address, datagram); err != nil {
				lastErr = stepError("heartbeat/send", address, err)
			}
		}
	}
	return lastErr
}

func (t *Transport) sendTo(address string, datagram []byte) error {
	target, err := netip.ParseAddrPort(address)
	if err == nil {
		_, err = t.conn.WriteToUDPAddrPort(datagram, target)
	}
	if err != nil {
		t.count("heartbeat_send_failed_total", 1)
		return err
	}
	t.count("heartbeat_sent_bytes_total", len(datagram))
	t.count("heartbeat_sent_datagrams_total", 1)
	return nil
}

// Address returns the bound address, with the actual port if the configured port
// was 0. It returns "" before the start and after Close.
func (t *Transport) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return ""
	}
	return t.conn.LocalAddr().String()
}

// Close stops the event loop and waits until it has ended or ctx is done.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	conn := t.conn
	t.conn = nil
	t.mu.Unlock()
	if conn == nil {
		return nil
	}
	_ = conn.Close()
	if err := t.engine.Stop(ctx); err != nil {
		return stepError("heartbeat/close", "", err)
	}
	select {
	case <-t.stopped:
		return nil
	case <-ctx.Done():
		return stepError("heartbeat/close", "", ctx.Err())
	}
}

func (t *Transport) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, t.cfg.Metrics).Inc(int64(n))
}
