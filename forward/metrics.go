package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"knapweedhoist/dispatch"
)

// Metrics holds the counters and the latency histogram of a Server. The counters
// of ended requests are:
//
//   - Served: an endpoint's answer was passed on, whatever its status.
//   - Limited: answered 429 (Too Many Requests) before any send.
//   - Refused: rejected for another reason before any send, or answered 503
//     because the request did not run.
//   - Failed: the request may have run and was answered 502 (Bad Gateway), or its
//     stream broke off, also at a timeout.
//   - TimedOut: answered 504 (Gateway Timeout).
//   - Abandoned: the caller closed its connection before an answer, or while no read
//     of its stream had failed.
type Metrics struct {
	Served, Refused, Limited, Failed, TimedOut, Abandoned metrics.Counter
	// Resumed counts the continuations of a broken stream by a further send. Repeated counts the other retries of failed
	// requests; a retry sends nothing if no endpoint is available.
	Resumed, Repeated metrics.Counter
	// PassedOn counts the requests whose answer came from another instance because this one did not reach the endpoints.
	PassedOn metrics.Counter
	// Quarantined counts the requests that were refused, or not sent again, because of a quarantined key. Held counts the waits of requests
	// that were in progress at a crash a moment ago.
	Quarantined, Held metrics.Counter
	// Avoided counts how often an endpoint began to be avoided, by reason.
	Avoided map[dispatch.Reason]metrics.Counter
	// RateLimitChanges counts the rate limits of endpoints that were stated, changed or ended in answers, InvalidRateLimits the
	// answers with one that cannot be read.
	RateLimitChanges, InvalidRateLimits metrics.Counter
	// RateLimitWaits counts the attempts that waited until the rate limit of an endpoint allowed them, RateLimited those that
	// found all endpoints at their limits for too long.
	RateLimitWaits, RateLimited metrics.Counter
	// OriginUnknown counts the requests to go on with a stream that were refused because the software version that began it is
	// unknown, VersionGone the streams that were refused or broken off because they can't go on at that version.
	OriginUnknown, VersionGone metrics.Counter
	// Crashes counts the sends that were in progress at an endpoint that crashed before it had answered them.
	Crashes metrics.Counter
	// Oversized counts the answers that were given up because of their size or of the memory of all answers, see isOversized.
	Oversized metrics.Counter
	// BodiesRefused counts the requests that were refused because there was no memory for their bodies.
	BodiesRefused metrics.Counter
	// FirstByte is the time from the arrival of a request to its answer or first event, in microseconds.
	FirstByte metrics.Histogram
	// InProgress is the number of requests that were accepted and have not ended; a stream counts until its end.
	InProgress metrics.Counter
	// Connections is the number of open connections of callers at the last call of Server.Sweep.
	Connections metrics.Gauge
}

// reservoirSize is the number of values in the latency histogram's exponentially decaying sample.
const reservoirSize = 1028

// NewMetrics returns metrics registered in registry.
func NewMetrics(registry metrics.Registry) *Metrics {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, registry) }
	return &Metrics{
		Served: counter("forward_served"), Refused: counter("forward_refused"), Limited: counter("forward_limited"),
		Failed: counter("forward_failed"), TimedOut: counter("forward_timed_out"), Abandoned: counter("forward_abandoned"),
		Resumed: counter("forward_resumed"), Repeated: counter("forward_repeated"),
		Avoided: map[dispatch.Reason]metrics.Counter{
			dispatch.Leaving: counter("forward_avoided_leaving"), dispatch.Paused: counter("forward_avoided_paused"),
			dispatch.Crashed: counter("forward_avoided_crashed"),
		},
		RateLimitChanges: counter("forward_rate_limit_changes"), InvalidRateLimits: counter("forward_rate_limits_invalid"),
		RateLimitWaits: counter("forward_rate_limit_waits"), RateLimited: counter("forward_rate_limited"),
		OriginUnknown: counter("forward_stream_origin_unknown"), VersionGone: counter("forward_stream_version_gone"),
		Crashes:     counter("forward_endpoint_crashes"),
		PassedOn:    counter("forward_passed_on"),
		Quarantined: counter("forward_quarantined"), Held: counter("forward_held"),
		Oversized: counter("forward_oversized"), BodiesRefused: counter("forward_bodies_refused"),
		InProgress:  counter("forward_in_progress"),
		Connections: metrics.NewRegisteredGauge("forward_connections", registry),
		FirstByte: metrics.NewRegisteredHistogram("forward_first_byte_us", registry,
			metrics.NewExpDecaySample(reservoirSize, 0.015)),
	}
}

func (m *Metrics) recordFirstByte(elapsed time.Duration) {
	m.FirstByte.Update(elapsed.Microseconds())
}
