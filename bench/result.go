package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"knapweedhoist/invariant"
)

// result holds the measurements of one variant in one scenario.
type result struct {
	scenario string
	variant  string
	length   time.Duration

	// first and gap hold times in µs.
	first [kinds]*hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram

	offered  int
	accepted int
	attempts int
	resumed  int
	promoted int
	failed   int
	shedding int
	good     int

	// goodTokens are generated tokens of calls that ended in time and before the last arrival.
	goodTokens int64
	// offeredBy and admittedBy are tokens of model calls by team until the last arrival.
	offeredBy  map[string]int64
	admittedBy map[string]int64
	limits     map[string]float64

	retriesAsked    int
	retriesAdmitted int

	generated  int64
	recomputed int64
	rerun      int64
	prefilled  int64
	busy       time.Duration
	worstLong  time.Duration
	// unfinished counts accepted calls without an outcome at the end.
	unfinished int
	completed  int
	// violations counts violated invariants.
	violations int
}

// Range of the histograms in µs.
const (
	lowestMicros  = 1
	highestMicros = 600_000_000
	digits        = 3
)

func newResult(s scenario, v variant) *result {
	r := &result{scenario: s.name, variant: v.name, length: s.length, limits: s.limits,
		offeredBy: map[string]int64{}, admittedBy: map[string]int64{}}
	for k := range r.first {
		r.first[k] = hdrhistogram.New(lowestMicros, highestMicros, digits)
	}
	r.gap = hdrhistogram.New(lowestMicros, highestMicros, digits)
	return r
}

func (r *result) offer(a *arrival) {
	r.offered++
	if a.kind != kindPlain {
		r.offeredBy[a.team] += int64(a.prompt + a.decode)
	}
}

func (r *result) accept(c *call) {
	r.accepted++
	if c.kind != kindPlain && c.at.Sub(epoch) <= r.length {
		r.admittedBy[c.team] += int64(c.prompt + c.decode)
	}
}

func (r *result) shed(*call) { r.shedding++ }

// token records a token that reached the caller.
func (r *result) token(c *call, at time.Time) {
	if c.firstAt.IsZero() {
		c.firstAt = at
		wait := at.Sub(c.at)
		_ = r.first[c.kind].RecordValue(wait.Microseconds())
		if c.kind == kindLong {
			r.worstLong = max(r.worstLong, wait)
		}
	} else {
		_ = r.gap.RecordValue(max(1, at.Sub(c.lastAt).Microseconds()))
	}
	c.lastAt = at
}

func (r *result) finish(c *call, now time.Time) {
	r.completed++
	if now.Sub(c.at) <= c.kind.deadline() {
		r.good++
	}
	if now.Sub(c.at) <= c.kind.deadline() && now.Sub(epoch) <= r.length {
		r.goodTokens += int64(c.decode)
	}
}

// close adds the servers' counts.
func (r *result) close(w *world) {
	for _, s := range w.servers {
		r.generated += s.generated
		r.recomputed += s.recomputed
		r.rerun += s.rerun
		r.prefilled += s.prefilled
		r.busy += s.busyTime
	}
	r.unfinished = r.accepted - r.completed - r.failed
}

// quantile returns a percentile of a histogram in ms.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Violated implements invariant.Checker.
func (r *result) Violated(invariant.Violation) { r.violations++ }
