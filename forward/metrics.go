package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Metrics counts requests by the outcome that their callers got.
type Metrics struct {
	Served, Refused, Limited, Failed, TimedOut, Abandoned metrics.Counter
	Resumed, Repeated                                     metrics.Counter
	// FirstByte is the time from the arrival of a request to its answer or first event, in microseconds.
	FirstByte metrics.Histogram
	// InProgress is the number of requests that are not answered yet.
	InProgress metrics.Counter
}

// reservoirSize is the number of samples in the latency histogram.
const reservoirSize = 1028

// NewMetrics returns metrics registered in registry.
func NewMetrics(registry metrics.Registry) *Metrics {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, registry) }
	return &Metrics{
		Served: counter("forward_served"), Refused: counter("forward_refused"), Limited: counter("forward_limited"),
		Failed: counter("forward_failed"), TimedOut: counter("forward_timed_out"), Abandoned: counter("forward_abandoned"),
		Resumed: counter("forward_resumed"), Repeated: counter("forward_repeated"),
		InProgress: counter("forward_in_progress"),
		FirstByte: metrics.NewRegisteredHistogram("forward_first_byte_us", registry,
			metrics.NewExpDecaySample(reservoirSize, 0.015)),
	}
}

func (m *Metrics) recordFirstByte(elapsed time.Duration) {
	m.FirstByte.Update(elapsed.Microseconds())
}
