package entry

import (
	"errors"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/deployment"
	"knapweedhoist/objectapi"
)

var _ = Describe("endpointSink", func() {
	var (
		now   time.Time
		state *deployment.State
		sink  *endpointSink
		// restarted holds the IDs that the sink reported as restarted.
		restarted []string
	)
	object := func(name string) objectapi.Object { return objectapi.Object{Name: name, Value: []byte(name)} }
	deleted := func(name string) objectapi.WatchEvent {
		return objectapi.WatchEvent{Deleted: true, Object: objectapi.Object{Name: name}}
	}
	names := func() []string {
		var all []string
		for name := range state.View().Endpoints {
			all = append(all, name)
		}
		return all
	}

	BeforeEach(func() {
		now, restarted = time.Unix(1000, 0), nil
		state = deployment.NewState()
		adapter := Adapter{DecodeEndpoint: func(name string, value []byte) (*deployment.Endpoint, error) {
			if string(value) == "unreadable" {
				return nil, errors.New("unreadable")
			}
			return &deployment.Endpoint{ID: name, Service: "s", Address: "10.0.0.1:1", Slots: 1, StartedAtMs: int64(len(value))}, nil
		}}
		sink = newEndpointSink(slog.New(slog.DiscardHandler), adapter, state, func() time.Time { return now },
			func(id string) { restarted = append(restarted, id) })
		sink.Replace([]objectapi.Object{object("a"), object("b")}, 1)
	})

	// Guards against requests to an endpoint that was deleted right after an outage of the store: the sink took the
	// deletion for an expired entry, and a request was sent 2454 ms after the deletion (fleetbench zapateo-ops scale-2,
	// DRAIN).
	It("removes an endpoint that is deleted after the store has answered again", func() {
		sink.WatchLost(errors.New("store unavailable"))
		sink.Replace([]objectapi.Object{object("a"), object("b")}, 1)
		sink.WatchRegained()
		sink.Apply([]objectapi.WatchEvent{deleted("a")}, 2)
		Expect(names()).To(ConsistOf("b"))
	})

	// Guards against the loss of all endpoints when their entries expire during an outage of the store.
	It("keeps an endpoint whose entry expired in an outage until it had time to register again", func() {
		sink.WatchLost(errors.New("store unavailable"))
		sink.Replace([]objectapi.Object{object("b")}, 1)
		sink.WatchRegained()
		Expect(names()).To(ConsistOf("a", "b"))
		now = now.Add(reregistrationTimeout - time.Millisecond)
		sink.expire()
		Expect(names()).To(ConsistOf("a", "b"))
		now = now.Add(time.Millisecond)
		sink.expire()
		Expect(names()).To(ConsistOf("b"))
	})

	// Guards against the removal of an endpoint that registered again in time.
	It("keeps an endpoint that registered again", func() {
		sink.WatchLost(errors.New("store unavailable"))
		sink.Replace(nil, 1)
		sink.WatchRegained()
		sink.Apply([]objectapi.WatchEvent{{Object: object("a")}}, 2)
		now = now.Add(2 * reregistrationTimeout)
		sink.expire()
		Expect(names()).To(ConsistOf("a"))
	})

	// Guards against requests routed for a prefix cache that the endpoint lost in a restart under the same ID.
	It("reports an endpoint that restarted under its ID", func() {
		sink.Apply([]objectapi.WatchEvent{{Object: object("a")}}, 2)
		Expect(restarted).To(BeEmpty())
		sink.Apply([]objectapi.WatchEvent{{Object: objectapi.Object{Name: "a", Value: []byte("later")}}}, 2)
		Expect(restarted).To(Equal([]string{"a"}))
	})

	// Guards against requests to an endpoint whose entry another program has overwritten with an invalid one.
	It("removes an endpoint whose entry can no longer be decoded", func() {
		sink.Apply([]objectapi.WatchEvent{{Object: objectapi.Object{Name: "a", Value: []byte("unreadable")}}}, 2)
		Expect(names()).To(ConsistOf("b"))
	})
})
