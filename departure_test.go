package knapweedhoist

import (
	"context"
	"log/slog"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/handover"
	"knapweedhoist/peer"
	"knapweedhoist/request"
	"knapweedhoist/wire"
)

// handoverHandler answers the calls of a handover with a target.
type handoverHandler struct{ target *handover.Target }

// Call implements peer.Handler. It fails calls other than those of a handover.
func (h *handoverHandler) Call(_ context.Context, call *wire.Call) (*wire.Answer, error) {
	if answer := h.target.Handle(time.Now(), call.GetFrom(), call); answer != nil {
		return answer, nil
	}
	return nil, &peer.RemoteError{Code: peer.CodeNotOwner, Step: "peer call"}
}

// Stream implements peer.Handler.
func (h *handoverHandler) Stream(context.Context, *wire.Call, func(*wire.Answer) error) error {
	return nil
}

var _ = Describe("handover over a peer session", func() {
	// Guards against a planned stop that does not end, and against requests that are not handed over: the source took each
	// failure with which the target answers for a call without an answer, and chose the same peer again without end.
	It("gets the failures of the target as its answers", func() {
		cfg := peer.Config{Key: []byte("0123456789abcdef"), Incarnation: "01A"}
		lg := slog.New(slog.DiscardHandler)
		handler := &handoverHandler{target: handover.NewTarget("01B", handover.TargetConfig{}, nil, nil, nil)}
		server, err := peer.NewServer(lg, cfg, handler)
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		client, err := peer.NewClient(lg, cfg)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		DeferCleanup(cancel)
		send := func(call *wire.Call) (*wire.Answer, error) {
			return handoverAnswer(client.Call(ctx, listener.Addr().String(), call))
		}

		id := request.ID{Incarnation: "01A", Sequence: 1}.String()
		answer, err := send(&wire.Call{Body: &wire.Call_HandoverEvents{HandoverEvents: &wire.HandoverEvents{Id: id, First: 1}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.GetFailure().GetCode()).To(Equal(peer.CodeNotFound))
		_, err = send(&wire.Call{Body: &wire.Call_ConfigFetch{ConfigFetch: &wire.ConfigFetch{}}})
		Expect(err).To(HaveOccurred(), "a failure that is not the target's says nothing about the call")
	})
})
