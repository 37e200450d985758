package knapweedhoist

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"knapweedhoist/timeline"
	"knapweedhoist/wire"
)

var _ = Describe("peer handler", func() {
	It("guards against a filter field that is ignored in the timeline query of a peer", func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		ring := timeline.NewRing(timeline.NewClock(func() time.Time { return now }), "entry-2", "kol-a", 0)
		ring.Record(timeline.Event{Kind: timeline.KindRevision, Revision: 2, Preset: "peak"})
		ring.Record(timeline.Event{Kind: timeline.KindAccept, Request: "r-1", Team: "ferry"})
		ring.Record(timeline.Event{Kind: timeline.KindAttempt, Request: "r-2", Team: "mill", Endpoint: "e-1"})
		handler := &peerHandler{instance: &Instance{ring: ring}}
		selected := func(query *wire.TimelineQuery) []timeline.Event {
			answer, err := handler.Call(context.Background(), &wire.Call{Body: &wire.Call_Timeline{Timeline: query}})
			Expect(err).NotTo(HaveOccurred())
			events, err := timeline.Decode(answer.GetTimeline().GetEvents())
			Expect(err).NotTo(HaveOccurred())
			return events
		}
		Expect(selected(&wire.TimelineQuery{})).To(HaveLen(3))
		Expect(selected(&wire.TimelineQuery{Kind: "accept"})).To(HaveLen(1))
		Expect(selected(&wire.TimelineQuery{Team: "mill"})).To(HaveLen(1))
		Expect(selected(&wire.TimelineQuery{Request: "r-1"})).To(HaveLen(1))
		Expect(selected(&wire.TimelineQuery{Preset: "peak"})).To(HaveLen(1))
		Expect(selected(&wire.TimelineQuery{Endpoint: "e-1"})).To(HaveLen(1))
		Expect(selected(&wire.TimelineQuery{Instance: "entry-1"})).To(BeEmpty())
		Expect(selected(&wire.TimelineQuery{SinceWallMs: now.UnixMilli() + 1000})).To(BeEmpty())
		Expect(selected(&wire.TimelineQuery{UntilWallMs: now.UnixMilli()})).To(BeEmpty())
		Expect(selected(&wire.TimelineQuery{Limit: 2})).To(HaveLen(2))
	})
})
