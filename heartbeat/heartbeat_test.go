package heartbeat

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/wire"
)

func TestHeartbeat(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "heartbeat")
}

// testTimeout bounds a test that hangs; no result depends on its value.
const testTimeout = 30 * time.Second

var (
	fleetKey = []byte("0123456789abcdef0123456789abcdef")
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func newCodec() (*encoder, *decoder) {
	return &encoder{mac: newMAC(fleetKey)},
		&decoder{mac: newMAC(fleetKey), replays: newReplayFilter(), maxAge: DefaultMaxAge}
}

func newHeartbeat(loads int) *wire.Heartbeat {
	beat := &wire.Heartbeat{Instance: "entry-1", Incarnation: "01JE", PeerAddress: "10.0.0.1:1", WallMs: start.UnixMilli()}
	for i := range loads {
		load := &wire.EndpointLoad{Endpoint: fmt.Sprintf("scribe-pool-%03d", i), Running: 40, DecodeTokens: 30000}
		beat.Loads = append(beat.Loads, load)
	}
	return beat
}

// startTransport starts a Transport on a free port. It puts the heartbeats that the Transport receives into received.
func startTransport(cfg Config, received chan *wire.Heartbeat) *Transport {
	cfg.Address = "127.0.0.1:0"
	transport, err := NewTransport(slog.New(slog.DiscardHandler), cfg, func(beat *wire.Heartbeat) { received <- beat })
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	DeferCleanup(cancel)
	Expect(transport.Start(ctx)).To(Succeed())
	DeferCleanup(func() { Expect(transport.Close(ctx)).To(Succeed()) })
	return transport
}

var _ = Describe("heartbeat", func() {
	It("guards against a replayed, altered or old datagram, or one with another fleet key, that is accepted", func() {
		enc, dec := newCodec()
		datagrams, err := enc.encode(newHeartbeat(1))
		Expect(err).NotTo(HaveOccurred())
		datagram := datagrams[0]
		for i := range datagram {
			altered := append([]byte(nil), datagram...)
			altered[i] ^= 1
			_, err := dec.decode(altered, start)
			Expect(err).To(HaveOccurred())
		}
		_, err = dec.decode(datagram, start.Add(DefaultMaxAge+time.Second))
		Expect(err).To(MatchError(ErrOld))
		_, err = dec.decode(datagram, start)
		Expect(err).NotTo(HaveOccurred())
		_, err = dec.decode(datagram, start)
		Expect(err).To(MatchError(ErrReplayed))
		other := &decoder{mac: newMAC([]byte("another key of enough length....")), replays: newReplayFilter()}
		_, err = other.decode(datagram, start)
		Expect(err).To(MatchError(ErrAuthentication))
	})

	It("guards against a reordered datagram that is refused, and against one that is accepted twice", func() {
		var w replayWindow
		Expect(w.accept(5)).To(BeTrue())
		Expect(w.accept(3)).To(BeTrue())
		Expect(w.accept(3)).To(BeFalse())
		Expect(w.accept(5)).To(BeFalse())
		Expect(w.accept(200)).To(BeTrue())
		Expect(w.accept(200 - windowSize)).To(BeFalse())
		Expect(w.accept(200 - windowSize + 1)).To(BeTrue())
		Expect(w.accept(0)).To(BeFalse())
	})

	It("guards against a datagram above 1,200 bytes and against items that splitting loses or duplicates", func() {
		enc, dec := newCodec()
		// 1<<63 has the longest encoding of a sequence number.
		enc.sequence = 1 << 63
		beat := newHeartbeat(120)
		for i := range 90 {
			beat.Alive = append(beat.Alive, uint64(i)<<40)
			beat.Leaves = append(beat.Leaves, &wire.Leave{Id: "e", Incarnation: fmt.Sprintf("01JL%d", i)})
		}
		datagrams, err := enc.encode(beat)
		Expect(err).NotTo(HaveOccurred())
		var loads, alive, leaves int
		for _, datagram := range datagrams {
			Expect(len(datagram)).To(BeNumerically("<=", MaxDatagramBytes))
			part, err := dec.decode(datagram, start)
			Expect(err).NotTo(HaveOccurred())
			Expect(part.GetPeerAddress()).To(Equal(beat.GetPeerAddress()))
			for _, load := range part.GetLoads() {
				Expect(load.GetEndpoint()).To(Equal(beat.GetLoads()[loads].GetEndpoint()))
				loads++
			}
			alive += len(part.GetAlive())
			leaves += len(part.GetLeaves())
		}
		Expect([]int{loads, alive, leaves}).To(Equal([]int{120, 90, 90}))
	})

	It("guards against datagrams that the event loop does not deliver, and against dropped ones that are not counted", func() {
		registry := metrics.NewRegistry()
		received := make(chan *wire.Heartbeat, 16)
		now := func() time.Time { return start }
		receiver := startTransport(Config{Key: fleetKey, Now: now, Metrics: registry}, received)
		sender := startTransport(Config{Key: fleetKey, Now: now}, make(chan *wire.Heartbeat, 16))
		otherFleet := startTransport(Config{Key: []byte("another key of enough length...."), Now: now}, make(chan *wire.Heartbeat, 16))
		Expect(otherFleet.Send([]string{receiver.Address()}, newHeartbeat(1))).To(Succeed())
		conn, err := net.Dial("udp", receiver.Address())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(sender.Send([]string{receiver.Address()}, newHeartbeat(3))).To(Succeed())
		var beat *wire.Heartbeat
		Eventually(received, testTimeout).Should(Receive(&beat))
		Expect(beat.GetLoads()).To(HaveLen(3))
		count := func(name string) func() int64 {
			return func() int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
		}
		Eventually(count("heartbeat_dropped_authentication_total"), testTimeout).Should(Equal(int64(1)))
		Eventually(count("heartbeat_dropped_malformed_total"), testTimeout).Should(Equal(int64(1)))
		Expect(count("heartbeat_received_bytes_total")()).To(BeNumerically(">", 100))
	})
})
