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
		now time.Time
		// age is the age of the newest confirmed configuration.
		age   time.Duration
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

	// pass lets time pass. No instance reaches the store if away is set.
	pass := func(length time.Duration, away bool) {
		for end := now.Add(length); now.Before(end); now = now.Add(controlInterval) {
			age = 0
			if away {
				age = now.Sub(end.Add(-length))
			}
			sink.tick()
		}
		age = 0
	}
	lose := func(length time.Duration, away bool) {
		sink.WatchLost(errors.New("store unavailable"))
		pass(length, away)
	}

	BeforeEach(func() {
		now, age, restarted = time.Unix(1000, 0), 0, nil
		state = deployment.NewState()
		adapter := Adapter{DecodeEndpoint: func(name string, value []byte) (*deployment.Endpoint, error) {
			if string(value) == "unreadable" {
				return nil, errors.New("unreadable")
			}
			return &deployment.Endpoint{ID: name, Service: "s", Address: "10.0.0.1:1", Slots: 1, StartedAtMs: int64(len(value))}, nil
		}}
		sink = newEndpointSink(slog.New(slog.DiscardHandler), adapter, state, endpointSinkConfig{
			now: func() time.Time { return now }, configAge: func() time.Duration { return age },
			absenceLimit: 1500 * time.Millisecond, onRestart: func(id string) { restarted = append(restarted, id) },
		})
		sink.Replace([]objectapi.Object{object("a"), object("b")}, objectapi.Position{Version: 1})
		sink.Confirm(0)
	})

	// Guards against an old copy that counts as complete, in which an instance misses a software version (ORDER).
	It("tells when the copy was complete", func() {
		var completeAt time.Time
		sink.cfg.onComplete = func(at time.Time) { completeAt = at }
		sink.Confirm(700 * time.Millisecond)
		Expect(completeAt).To(Equal(now.Add(-700 * time.Millisecond)))
	})

	// Guards against requests to an endpoint that was deleted right after an outage of the store: the sink took the
	// deletion for an expired entry, and a request was sent 2454 ms after the deletion (fleetbench zapateo-ops scale-2,
	// DRAIN).
	It("removes an endpoint that is deleted after the store has answered again", func() {
		lose(4*time.Second, true)
		sink.Replace([]objectapi.Object{object("a"), object("b")}, objectapi.Position{Version: 1})
		sink.WatchRegained()
		sink.Apply([]objectapi.WatchEvent{deleted("a")}, objectapi.Position{Version: 2})
		Expect(names()).To(ConsistOf("b"))
	})

	// Guards against the loss of all endpoints when their entries expire during an outage of the store.
	It("keeps an endpoint whose entry expired in an outage until it had time to register again", func() {
		lose(4*time.Second, true)
		sink.Replace([]objectapi.Object{object("b")}, objectapi.Position{Version: 1})
		sink.WatchRegained()
		Expect(names()).To(ConsistOf("a", "b"))
		now = now.Add(reregistrationTimeout - time.Millisecond)
		sink.tick()
		Expect(names()).To(ConsistOf("a", "b"))
		now = now.Add(time.Millisecond)
		sink.tick()
		Expect(names()).To(ConsistOf("b"))
	})

	// Guards against requests to an endpoint whose entry was removed while this instance alone had lost the store (fleetbench
	// zapateo-ops review/3/day.toml, DRAIN).
	It("removes an endpoint at the first answer if others reached the store all the while", func() {
		lose(7*time.Second, false)
		sink.Replace([]objectapi.Object{object("b")}, objectapi.Position{Version: 1})
		Expect(names()).To(ConsistOf("b"))
	})

	// Guards against an endpoint that is kept for longer because this instance reads the store again later than others.
	It("counts the time to register again from the store's return, whoever sees it first", func() {
		lose(4*time.Second, true)
		pass(reregistrationTimeout-controlInterval, false)
		sink.Replace([]objectapi.Object{object("b")}, objectapi.Position{Version: 1})
		Expect(names()).To(ConsistOf("a", "b"))
		now = now.Add(controlInterval)
		sink.tick()
		Expect(names()).To(ConsistOf("b"))
	})

	// Guards against the removal of endpoints after a pause of the process, in which it saw no sign of an outage.
	It("keeps an endpoint that is missing after a pause of the process", func() {
		sink.tick()
		now = now.Add(4 * time.Second)
		sink.WatchLost(errors.New("timeout"))
		sink.Replace([]objectapi.Object{object("b")}, objectapi.Position{Version: 1})
		Expect(names()).To(ConsistOf("a", "b"))
		Expect(state.View().Endpoints["a"].Unconfirmed).To(BeTrue())
	})

	// Guards against an endpoint that gets no requests although its entry is back.
	It("confirms an endpoint that registered again", func() {
		lose(4*time.Second, true)
		sink.Replace(nil, objectapi.Position{Version: 1})
		Expect(state.View().Endpoints["a"].Unconfirmed).To(BeTrue())
		sink.Apply([]objectapi.WatchEvent{{Object: object("a")}}, objectapi.Position{Version: 2})
		Expect(state.View().Endpoints["a"].Unconfirmed).To(BeFalse())
	})

	// Guards against the removal of an endpoint that registered again in time.
	It("keeps an endpoint that registered again", func() {
		lose(4*time.Second, true)
		sink.Replace(nil, objectapi.Position{Version: 1})
		sink.WatchRegained()
		sink.Apply([]objectapi.WatchEvent{{Object: object("a")}}, objectapi.Position{Version: 2})
		now = now.Add(2 * reregistrationTimeout)
		sink.tick()
		Expect(names()).To(ConsistOf("a"))
	})

	// Guards against requests routed for a prefix cache that the endpoint lost in a restart under the same ID.
	It("reports an endpoint that restarted under its ID", func() {
		sink.Apply([]objectapi.WatchEvent{{Object: object("a")}}, objectapi.Position{Version: 2})
		Expect(restarted).To(BeEmpty())
		sink.Apply([]objectapi.WatchEvent{{Object: objectapi.Object{Name: "a", Value: []byte("later")}}}, objectapi.Position{Version: 2})
		Expect(restarted).To(Equal([]string{"a"}))
	})

	// Guards against requests to an endpoint whose entry another program has overwritten with an invalid one.
	It("removes an endpoint whose entry can no longer be decoded", func() {
		sink.Apply([]objectapi.WatchEvent{{Object: objectapi.Object{Name: "a", Value: []byte("unreadable")}}}, objectapi.Position{Version: 2})
		Expect(names()).To(ConsistOf("b"))
	})
})
