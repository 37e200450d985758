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

// testTimeout bounds a test that hangs. No assertion depends on its value.
const testTimeout = 30 * time.Second

var (
	discardLogger = slog.New(slog.DiscardHandler)
	fleetKey      = []byte("0123456789abcdef0123456789abcdef")
	pingCall      = &wire.Call{Body: &wire.Call_Ping{Ping: &wire.Ping{}}}
	blockingCall  = &wire.Call{Body: &wire.Call_Claim{Claim: &wire.ClaimRequest{}}}
)

// stubHandler answers with an Ack, except that it blocks claim calls until their context is cancelled and answers
// configuration fetches with CodeNotFound. Its Stream sends the events after the given id, up to id 5.
type stubHandler struct {
	calls     atomic.Int64
	started   chan struct{}
	cancelled chan struct{}
}

func newStubHandler() *stubHandler {
	return &stubHandler{started: make(chan struct{}, 16), cancelled: make(chan struct{}, 16)}
}

func (h *stubHandler) Call(ctx context.Context, call *wire.Call) (*wire.Answer, error) {
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

func (h *stubHandler) Stream(_ context.Context, call *wire.Call, send func(*wire.Answer) error) error {
	for id := call.GetAttach().GetAfter() + 1; id <= 5; id++ {
		event := &wire.AttachEvent{Id: id}
		if err := send(&wire.Answer{Body: &wire.Answer_AttachEvent{AttachEvent: event}}); err != nil {
			return err
		}
	}
	return nil
}

// startServer starts a server on the loopback interface and returns its address.
func startServer(cfg Config, handler Handler) string {
	server, err := NewServer(discardLogger, cfg, handler)
	Expect(err).NotTo(HaveOccurred())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}

func startClient(cfg Config) *Client {
	client, err := NewClient(discardLogger, cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(client.Close)
	return client
}

func contextWithTimeout() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	DeferCleanup(cancel)
	return ctx
}

// manualTicks returns a Config.Ticks function whose ticks the test sends on the returned channel.
func manualTicks() (chan time.Time, func(time.Duration) (<-chan time.Time, func())) {
	ticks := make(chan time.Time)
	return ticks, func(time.Duration) (<-chan time.Time, func()) { return ticks, func() {} }
}

// stallingDialer dials connections that stay open but discard written bytes while stalled is set. A new dial clears it.
type stallingDialer struct {
	stalled atomic.Bool
	dials   atomic.Int64
}

func (d *stallingDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	d.dials.Add(1)
	d.stalled.Store(false)
	conn, err := dialTCP(ctx, address)
	return &stallingConn{Conn: conn, dialer: d}, err
}

type stallingConn struct {
	net.Conn
	dialer *stallingDialer
}

func (c *stallingConn) Write(data []byte) (int, error) {
	if c.dialer.stalled.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

var _ = Describe("peer", func() {
	cfg := Config{Key: fleetKey, Incarnation: "01A"}

	It("guards against answers, failures and streams that are altered or lost on the way to the caller", func() {
		handler := newStubHandler()
		address := startServer(cfg, handler)
		client := startClient(cfg)
		answer, err := client.Call(contextWithTimeout(), address, pingCall)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetAck()).NotTo(BeNil())

		_, err = client.Call(contextWithTimeout(), address, &wire.Call{Body: &wire.Call_ConfigFetch{ConfigFetch: &wire.ConfigFetch{}}})
		var remote *RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(remote.Code).To(Equal(CodeNotFound))
		Expect(MayHaveTakenEffect(err)).To(BeFalse())

		var ids []uint64
		attach := &wire.Call{Body: &wire.Call_Attach{Attach: &wire.Attach{After: 2}}}
		err = client.Stream(contextWithTimeout(), address, attach, func(a *wire.Answer) error {
			ids = append(ids, a.GetAttachEvent().GetId())
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(ids).To(Equal([]uint64{3, 4, 5}))
	})

	It("guards against a caller that blocks forever on an open connection that delivers no data", func() {
		handler := newStubHandler()
		address := startServer(cfg, handler)
		dialer := &stallingDialer{}
		ticks, start := manualTicks()
		stallingCfg := cfg
		stallingCfg.Dial, stallingCfg.Ticks = dialer.dial, start
		client := startClient(stallingCfg)
		result := make(chan error, 1)
		go func() {
			_, err := client.Call(contextWithTimeout(), address, blockingCall)
			result <- err
		}()
		Eventually(handler.started, testTimeout).Should(Receive())
		dialer.stalled.Store(true)
		var err error
		for waiting := true; waiting; {
			select {
			case ticks <- time.Time{}:
			case err = <-result:
				waiting = false
			}
		}
		Expect(err).To(MatchError(ErrSessionTimeout))
		Expect(MayHaveTakenEffect(err)).To(BeTrue())
		_, err = client.Call(contextWithTimeout(), address, pingCall)
		Expect(err).NotTo(HaveOccurred())
		Expect(dialer.dials.Load()).To(Equal(int64(2)))
	})

	It("guards against a session timeout that is detected after more than 6 s or before two pings are lost", func() {
		var w watchdog
		w.recordProgress()
		ticks := 0
		for !w.tick() && ticks < 100 {
			ticks++
		}
		// The last frame was received up to one interval before the first tick.
		Expect(time.Duration(ticks+1) * tickInterval).To(BeNumerically("<=", sessionTimeout))
		Expect(time.Duration(ticks) * tickInterval).To(BeNumerically(">", 2*pingInterval))
	})

	It("guards against a call that keeps running at the peer after its caller has cancelled it", func() {
		handler := newStubHandler()
		address := startServer(cfg, handler)
		client := startClient(cfg)
		ctx, cancel := context.WithCancel(contextWithTimeout())
		go func() {
			<-handler.started
			cancel()
		}()
		_, err := client.Call(ctx, address, blockingCall)
		Expect(err).To(MatchError(context.Canceled))
		Expect(MayHaveTakenEffect(err)).To(BeTrue())
		Eventually(handler.cancelled, testTimeout).Should(Receive())
	})

	It("guards against a session with a client or server that does not have the fleet's key", func() {
		handler := newStubHandler()
		countedCfg := cfg
		countedCfg.Metrics = metrics.NewRegistry()
		refused := metrics.GetOrRegisterCounter("peer_sessions_refused_total", countedCfg.Metrics)
		address := startServer(countedCfg, handler)
		otherKeyCfg := Config{Key: []byte("another key of enough length....")}
		_, err := startClient(otherKeyCfg).Call(contextWithTimeout(), address, pingCall)
		Expect(err).To(MatchError(ErrAuthentication))
		Expect(err).To(MatchError(ErrNotSent))
		Eventually(refused.Count, testTimeout).Should(Equal(int64(1)))

		// A client without the fleet's key that skips the check of the server's proof is refused by the server.
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		hello := newNonceMessage(protocolVersion)
		_, _ = conn.Write(hello)
		_, _ = io.ReadFull(conn, make([]byte, nonceBytes+32))
		_, _ = conn.Write(proof(otherKeyCfg.Key, labelClient, hello))
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(refused.Count()).To(Equal(int64(2)))
		Expect(handler.calls.Load()).To(BeZero())
	})

	It("guards against a client that sends and a server that accepts frames above the size limit", func() {
		handler := newStubHandler()
		smallFrameCfg := cfg
		smallFrameCfg.MaxFrameBytes = 64
		address := startServer(smallFrameCfg, handler)
		large := &wire.Call{Body: &wire.Call_ConfigRelay{ConfigRelay: &wire.ConfigRelay{Changes: [][]byte{make([]byte, 1024)}}}}
		_, err := startClient(smallFrameCfg).Call(contextWithTimeout(), address, large)
		Expect(err).To(MatchError(ErrFrameTooLarge))
		Expect(err).To(MatchError(ErrNotSent))
		_, err = startClient(cfg).Call(contextWithTimeout(), address, large)
		Expect(MayHaveTakenEffect(err)).To(BeTrue())
		Expect(handler.calls.Load()).To(BeZero())
	})

	It("guards against accepting a frame that is replayed, moved to another stream or altered", func() {
		var frameKey sessionKey
		sent := &bytes.Buffer{}
		Expect(newFramer(sent, 3, frameKey, true, 1024, nil).write(frameCall, pingCall)).To(Succeed())
		frame := sent.Bytes()
		read := func(id uint32, frames ...[]byte) error {
			receiver := newFramer(bytes.NewBuffer(bytes.Join(frames, nil)), id, frameKey, false, 1024, func() {})
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

	It("guards against a server that runs more concurrent calls than its limit", func() {
		handler := newStubHandler()
		oneCallCfg := cfg
		oneCallCfg.MaxCalls = 1
		address := startServer(oneCallCfg, handler)
		client := startClient(cfg)
		ctx, cancel := context.WithCancel(contextWithTimeout())
		ended := make(chan error, 1)
		go func() {
			_, err := client.Call(ctx, address, blockingCall)
			ended <- err
		}()
		Eventually(handler.started, testTimeout).Should(Receive())
		_, err := client.Call(contextWithTimeout(), address, pingCall)
		var remote *RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(remote.Code).To(Equal(CodeUnavailable))
		Expect(handler.calls.Load()).To(Equal(int64(1)))
		cancel()
		Eventually(ended, testTimeout).Should(Receive(MatchError(ErrUncertain)))
	})

	It("guards against reporting a call to an unreachable peer as one that may have taken effect", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, err = startClient(cfg).Call(contextWithTimeout(), listener.Addr().String(), pingCall)
		Expect(err).To(MatchError(ErrNotSent))
		Expect(MayHaveTakenEffect(err)).To(BeFalse())
	})

	It("guards against an idle session that stays open, and against a failed call after an idle session was closed", func() {
		ticks, start := manualTicks()
		idleCfg := cfg
		idleCfg.Ticks, idleCfg.IdleTimeout = start, tickInterval
		address := startServer(cfg, newStubHandler())
		client := startClient(idleCfg)
		for range 2 {
			_, err := client.Call(contextWithTimeout(), address, pingCall)
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
