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

	// firstTokenTimes and tokenGaps hold times in µs.
	firstTokenTimes [kindCount]*hdrhistogram.Histogram
	tokenGaps       *hdrhistogram.Histogram

	offered  int
	accepted int
	attempts int
	resumed  int
	promoted int
	// failed counts the calls for which the router found no endpoint.
	failed int
	// shedCalls counts the calls that were shed again when the caller retried them.
	shedCalls int
	inTime    int

	// goodTokens counts the generated tokens of calls that finished within their deadline and within the scenario's
	// length.
	goodTokens int64
	// offeredByTeam and admittedByTeam count the tokens of model calls within the scenario's length.
	offeredByTeam  map[string]int64
	admittedByTeam map[string]int64
	limits         map[string]float64

	retriesRequested int
	retriesAdmitted  int

	// generated, recomputed, recomputedOnResume and prefilled are sums over all servers in tokens; busyTime is the sum of
	// the durations of their iterations.
	generated          int64
	recomputed         int64
	recomputedOnResume int64
	prefilled          int64
	busyTime           time.Duration
	maxLongFirstToken  time.Duration
	// unfinished counts accepted calls that neither completed nor failed before the run ended.
	unfinished int
	completed  int
	// violations counts the invariant violations that the routing package reported.
	violations int
}

// Range of the histograms in µs, and their precision in significant decimal digits.
const (
	lowestMicros      = 1
	highestMicros     = 600_000_000
	significantDigits = 3
)

func newResult(s scenario, v variant) *result {
	r := &result{scenario: s.name, variant: v.name, length: s.length, limits: s.limits,
		offeredByTeam: map[string]int64{}, admittedByTeam: map[string]int64{}}
	for k := range r.firstTokenTimes {
		r.firstTokenTimes[k] = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	r.tokenGaps = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	return r
}

func (r *result) recordOffered(a *arrival) {
	r.offered++
	if a.kind != kindPlain {
		r.offeredByTeam[a.team] += int64(a.promptTokens + a.decodeTokens)
	}
}

func (r *result) recordAccepted(c *call) {
	r.accepted++
	if c.kind != kindPlain && c.submittedAt.Sub(epoch) <= r.length {
		r.admittedByTeam[c.team] += int64(c.promptTokens + c.decodeTokens)
	}
}

func (r *result) recordShed(*call) { r.shedCalls++ }

// recordToken records a token that reaches the caller at the given time.
func (r *result) recordToken(c *call, at time.Time) {
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = at
		wait := at.Sub(c.submittedAt)
		_ = r.firstTokenTimes[c.kind].RecordValue(wait.Microseconds())
		if c.kind == kindLong {
			r.maxLongFirstToken = max(r.maxLongFirstToken, wait)
		}
	} else {
		_ = r.tokenGaps.RecordValue(max(1, at.Sub(c.lastTokenAt).Microseconds()))
	}
	c.lastTokenAt = at
}

func (r *result) recordCompleted(c *call, now time.Time) {
	r.completed++
	if now.Sub(c.submittedAt) <= c.kind.deadline() {
		r.inTime++
	}
	if now.Sub(c.submittedAt) <= c.kind.deadline() && now.Sub(epoch) <= r.length {
		r.goodTokens += int64(c.decodeTokens)
	}
}

// addServerCounts adds the counts of all servers at the end of the run.
func (r *result) addServerCounts(sim *simulation) {
	for _, s := range sim.servers {
		r.generated += s.generated
		r.recomputed += s.recomputed
		r.recomputedOnResume += s.recomputedOnResume
		r.prefilled += s.prefilled
		r.busyTime += s.busyTime
	}
	r.unfinished = r.accepted - r.completed - r.failed
}

// percentileMs returns the p-th percentile, 0 to 100, of a histogram in µs, converted to ms.
func percentileMs(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtQuantile(p)) / 1000
}

// Violated implements invariant.Checker.
func (r *result) Violated(invariant.Violation) { r.violations++ }
