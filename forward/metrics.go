package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Metrics counts what callers got.
type Metrics struct {
	Served, Refused, Limited, Failed, TimedOut, Abandoned metrics.Counter
	Resumed, Repeated                                     metrics.Counter
	// FirstByte is the time to the answer or to the first event, in microseconds.
	FirstByte metrics.Histogram
	// InProgress is the number of requests that are not answered yet.
	InProgress metrics.Counter
}

// reservoir is the number of samples that the latency histogram keeps.
const reservoir = 1028

// NewMetrics returns metrics registered in registry.
func NewMetrics(registry metrics.Registry) *Metrics {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, registry) }
	return &Metrics{
		Served: counter("forward_served"), Refused: counter("forward_refused"), Limited: counter("forward_limited"),
		Failed: counter("forward_failed"), TimedOut: counter("forward_timed_out"), Abandoned: counter("forward_abandoned"),
		Resumed: counter("forward_resumed"), Repeated: counter("forward_repeated"),
		InProgress: counter("forward_in_progress"),
		FirstByte: metrics.NewRegisteredHistogram("forward_first_byte_us", registry,
			metrics.NewExpDecaySample(reservoir, 0.015)),
	}
}

func (m *Metrics) firstByte(since time.Duration) {
	m.FirstByte.Update(since.Microseconds())
}
