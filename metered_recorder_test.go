package knapweedhoist

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/operator"
	"knapweedhoist/timeline"
)

var _ = Describe("metered recorder", func() {
	It("guards against events and outcomes that are missing from the metrics", func() {
		registry := metrics.NewRegistry()
		recorder := newMeteredRecorder(timeline.Discard, registry)
		recorder.Record(timeline.Event{Kind: timeline.KindRejected})
		recorder.Record(timeline.Event{Kind: timeline.KindFinish, Detail: "unknown"})
		recorder.Record(timeline.Event{Kind: timeline.KindFinish, Detail: "ran"})
		recorder.Record(timeline.Event{Kind: "other"})
		var text bytes.Buffer
		operator.WriteMetrics(&text, registry)
		for _, line := range []string{
			`knapweedhoist_events_total{kind="shed"} 1`, `knapweedhoist_events_total{kind="finish"} 2`,
			`knapweedhoist_events_total{kind="invariant"} 0`, `knapweedhoist_requests_finished_total{outcome="unknown"} 1`,
			`knapweedhoist_requests_finished_total{outcome="ran"} 1`, `knapweedhoist_requests_finished_total{outcome="not_run"} 0`,
		} {
			Expect(text.String()).To(ContainSubstring(line + "\n"))
		}
	})
})
