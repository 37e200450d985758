package knapweedhoist

import (
	"fmt"

	metrics "github.com/rcrowley/go-metrics"

	"knapweedhoist/request"
	"knapweedhoist/timeline"
)

// meteredRecorder counts events by kind and finished requests by outcome, and
// forwards each event to the next recorder. It is safe for concurrent use.
type meteredRecorder struct {
	next timeline.Recorder
	// kinds and outcomes are filled on construction and only read afterwards.
	kinds    map[timeline.Kind]metrics.Counter
	outcomes map[string]metrics.Counter
}

// newMeteredRecorder registers all counters, so that each is exported with 0
// before its first event.
func newMeteredRecorder(next timeline.Recorder, registry metrics.Registry) *meteredRecorder {
	r := &meteredRecorder{
		next: next, kinds: make(map[timeline.Kind]metrics.Counter), outcomes: make(map[string]metrics.Counter),
	}
	for _, kind := range timeline.Kinds() {
		r.kinds[kind] = metrics.GetOrRegisterCounter(fmt.Sprintf("events_total{kind=%q}", kind), registry)
	}
	for _, outcome := range []request.Outcome{request.OutcomeRan, request.OutcomeNotRun, request.OutcomeUnknown} {
		name := fmt.Sprintf("requests_finished_total{outcome=%q}", outcome)
		r.outcomes[string(outcome)] = metrics.GetOrRegisterCounter(name, registry)
	}
	return r
}

// Record implements timeline.Recorder. The detail of a finish event is the
// outcome of the request.
func (r *meteredRecorder) Record(event timeline.Event) {
	if counter, known := r.kinds[event.Kind]; known {
		counter.Inc(1)
	}
	if event.Kind == timeline.KindFinish {
		if counter, known := r.outcomes[event.Detail]; known {
			counter.Inc(1)
		}
	}
	r.next.Record(event)
}
