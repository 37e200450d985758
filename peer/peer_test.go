package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/wire"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

// hangGuard only bounds a run that hangs; no verdict depends on it.
const hangGuard = 30 * time.Second

var (
	quiet    = slog.New(slog.DiscardHandler)
	fleetKey = []byte("0123456789abcdef0123456789abcdef")
	ping     = &wire.Call{Body: &wire.Call_Ping{Ping: &wire.Ping{}}}
	held     = &wire.Call{Body: &wire.Call_Claim{Claim: &wire.ClaimRequest{}}}
)

// echoHandler answers with an Ack; it holds claim calls until their context ends.
type echoHandler struct {
	calls     atomic.Int64
	started   chan struct{}
	cancelled chan struct{}
}

func newEcho() *echoHandler {
	return &echoHandler{started: make(chan struct{}, 16), cancelled: make(chan struct{}, 16)}
}

func (h *echoHandler) Call(ctx context.Context, call *wire.Call) (*wire.Answer, error) {
	h.calls.Add(1)
	if call.GetClaim() != nil {
		h.started <- struct{}{}
		<-ctx.Done()
		h.cancelled <- struct{}{}
		return nil, ctx.Err()
	}
	if call.GetConfigFetch() != nil {
		return nil, &RemoteError{Code: CodeNotFound, Step: "config/fetch", Message: "no document"}
	}
	return &wire.Answer{Body: &wire.Answer_Ack{Ack: &wire.Ack{}}}, nil
}

func (h *echoHandler) Stream(_ context.Context, call *wire.Call, send func(*wire.Answer) error) error {
	for id := call.GetAttach().GetAfter() + 1; id <= 5; id++ {
		event := &wire.AttachEvent{Id: id}
		if err := send(&wire.Answer{Body: &wire.Answer_AttachEvent{AttachEvent: event}}); err != nil {
			return err
		}
	}
	return nil
}

// startServer serves on the loopback address and returns its address.
func startServer(cfg Config, handler Handler) string {
	server, err := NewServer(quiet, cfg, handler)
	Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

func startClient(cfg Config) *Client {
	client, err := NewClient(quiet, cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return client
}

func guarded() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), hangGuard)
	DeferCleanup(cancel)
	return ctx
}

// manualTicks hands out one channel that the test writes ticks to.
func manualTicks() (chan time.Time, func(time.Duration) (<-chan time.Time, func())) {
	ticks := make(chan time.Time)
	return ticks, func(time.Duration) (<-chan time.Time, func()) { return ticks, func() {} }
}

// silentRelay forwards bytes until it is silenced; the connections stay open.
type silentRelay struct {
	silent atomic.Bool
	dials  atomic.Int64
}

func (r *silentRelay) dial(ctx context.Context, address string) (net.Conn, error) {
	r.dials.Add(1)
	r.silent.Store(false)
	conn, err := dialTCP(ctx, address)
	return &silentConn{Conn: conn, relay: r}, err
}

type silentConn struct {
	net.Conn
	relay *silentRelay
}

func (c *silentConn) Write(data []byte) (int, error) {
	if c.relay.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

var _ = Describe("peer", func() {
	cfg := Config{Key: fleetKey, Incarnation: "01A"}

	It("guards against calls, failures and streams that reach the caller changed", func() {
		handler := newEcho()
		address := startServer(cfg, handler)
		client := startClient(cfg)
		answer, err := client.Call(guarded(), address, ping)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetAck()).NotTo(BeNil())

		_, err = client.Call(guarded(), address, &wire.Call{Body: &wire.Call_ConfigFetch{ConfigFetch: &wire.ConfigFetch{}}})
		var remote *RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(remote.Code).To(Equal(CodeNotFound))
		Expect(MayHaveTakenEffect(err)).To(BeFalse())

		var ids []uint64
		attach := &wire.Call{Body: &wire.Call_Attach{Attach: &wire.Attach{After: 2}}}
		err = client.Stream(guarded(), address, attach, func(a *wire.Answer) error {
			ids = append(ids, a.GetAttachEvent().GetId())
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(ids).To(Equal([]uint64{3, 4, 5}))
	})

	It("guards against a caller that waits for ever on an open connection without progress", func() {
		handler := newEcho()
		address := startServer(cfg, handler)
		relay := &silentRelay{}
		ticks, start := manualTicks()
		silentCfg := cfg
		silentCfg.Dial, silentCfg.Ticks = relay.dial, start
		client := startClient(silentCfg)
		result := make(chan error, 1)
		go func() {
			_, err := client.Call(guarded(), address, held)
			result <- err
		}()
		Eventually(handler.started, hangGuard).Should(Receive())
		relay.silent.Store(true)
		var err error
		for waiting := true; waiting; {
			select {
			case ticks <- time.Time{}:
			case err = <-result:
				waiting = false
			}
		}
		Expect(err).To(MatchError(ErrSilent))
		Expect(MayHaveTakenEffect(err)).To(BeTrue())
		_, err = client.Call(guarded(), address, ping)
		Expect(err).NotTo(HaveOccurred())
		Expect(relay.dials.Load()).To(Equal(int64(2)))
	})

	It("guards against silence that is noticed later than 6 s or earlier than two lost pings", func() {
		var dog watchdog
		dog.progress()
		ticks := 0
		for !dog.tick() && ticks < 100 {
			ticks++
		}
		// Progress happened up to one tick before the first one.
		Expect(time.Duration(ticks+1) * tickInterval).To(BeNumerically("<=", silenceLimit))
		Expect(time.Duration(ticks) * tickInterval).To(BeNumerically(">", 2*pingInterval))
	})

	It("guards against a call that goes on at the peer after its caller gave up", func() {
		handler := newEcho()
		address := startServer(cfg, handler)
		client := startClient(cfg)
		ctx, cancel := context.WithCancel(guarded())
		go func() {
			<-handler.started
			cancel()
		}()
		_, err := client.Call(ctx, address, held)
		Expect(err).To(MatchError(context.Canceled))
		Expect(MayHaveTakenEffect(err)).To(BeTrue())
		Eventually(handler.cancelled, hangGuard).Should(Receive())
	})

	It("guards against a peer without the fleet's key, on either side", func() {
		handler := newEcho()
		counted := cfg
		counted.Metrics = metrics.NewRegistry()
		refused := metrics.GetOrRegisterCounter("peer_sessions_refused_total", counted.Metrics)
		address := startServer(counted, handler)
		other := Config{Key: []byte("another key of enough length....")}
		_, err := startClient(other).Call(guarded(), address, ping)
		Expect(err).To(MatchError(ErrAuthentication))
		Expect(err).To(MatchError(ErrNotSent))
		Eventually(refused.Count, hangGuard).Should(Equal(int64(1)))

		// A client that skips the check of the server's proof is refused by the server.
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		hello := newNonces(protocolVersion)
		_, _ = conn.Write(hello)
		_, _ = io.ReadFull(conn, make([]byte, nonceBytes+32))
		_, _ = conn.Write(proof(other.Key, labelClient, hello))
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(refused.Count()).To(Equal(int64(2)))
		Expect(handler.calls.Load()).To(BeZero())
	})

	It("guards against frames beyond the limit, on both sides", func() {
		handler := newEcho()
		small := cfg
		small.MaxFrameBytes = 64
		address := startServer(small, handler)
		large := &wire.Call{Body: &wire.Call_ConfigRelay{ConfigRelay: &wire.ConfigRelay{Changes: [][]byte{make([]byte, 1024)}}}}
		_, err := startClient(small).Call(guarded(), address, large)
		Expect(err).To(MatchError(ErrFrameTooLarge))
		Expect(err).To(MatchError(ErrNotSent))
		_, err = startClient(cfg).Call(guarded(), address, large)
		Expect(MayHaveTakenEffect(err)).To(BeTrue())
		Expect(handler.calls.Load()).To(BeZero())
	})

	It("guards against a frame that is replayed, moved to another stream or altered", func() {
		var keys sessionKeys
		sent := &bytes.Buffer{}
		Expect(newFramer(sent, 3, keys, true, 1024, nil).write(frameCall, ping)).To(Succeed())
		frame := sent.Bytes()
		read := func(id uint32, frames ...[]byte) error {
			receiver := newFramer(bytes.NewBuffer(bytes.Join(frames, nil)), id, keys, false, 1024, func() {})
			for range frames {
				if _, _, err := receiver.read(); err != nil {
					return err
				}
			}
			return nil
		}
		Expect(read(3, frame)).To(Succeed())
		Expect(read(3, frame, frame)).To(MatchError(ErrAuthentication))
		Expect(read(5, frame)).To(MatchError(ErrAuthentication))
		for i := range frame {
			altered := bytes.Clone(frame)
			altered[i] ^= 1
			Expect(read(3, altered)).NotTo(Succeed())
		}
	})

	It("guards against more calls at the same time than the server allows, and against their being run", func() {
		handler := newEcho()
		one := cfg
		one.MaxStreams = 1
		address := startServer(one, handler)
		client := startClient(cfg)
		ctx, cancel := context.WithCancel(guarded())
		ended := make(chan error, 1)
		go func() {
			_, err := client.Call(ctx, address, held)
			ended <- err
		}()
		Eventually(handler.started, hangGuard).Should(Receive())
		_, err := client.Call(guarded(), address, ping)
		var remote *RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(remote.Code).To(Equal(CodeUnavailable))
		Expect(handler.calls.Load()).To(Equal(int64(1)))
		cancel()
		Eventually(ended, hangGuard).Should(Receive(MatchError(ErrUncertain)))
	})

	It("guards against a call to an unreachable peer that is reported as possibly run", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, err = startClient(cfg).Call(guarded(), listener.Addr().String(), ping)
		Expect(err).To(MatchError(ErrNotSent))
		Expect(MayHaveTakenEffect(err)).To(BeFalse())
	})

	It("guards against an idle session that is kept open, and against a lost call after it closed", func() {
		ticks, start := manualTicks()
		idle := cfg
		idle.Ticks, idle.Idle = start, tickInterval
		address := startServer(cfg, newEcho())
		client := startClient(idle)
		for range 2 {
			_, err := client.Call(guarded(), address, ping)
			Expect(err).NotTo(HaveOccurred())
			client.mu.Lock()
			session := client.slots[address].session
			client.mu.Unlock()
			for open := true; open; {
				select {
				case ticks <- time.Time{}:
				case <-session.mux.CloseChan():
					open = false
				}
			}
		}
	})
})
