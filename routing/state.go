package routing

import (
	"sync/atomic"
	"time"
)

// state is what one instance knows of one endpoint. Decisions read only the
// atomics. About 1.2 KiB per endpoint, most of it the history.
type state struct {
	id string
	// leftAt is when the endpoint was first known to leave, in ns since the epoch; 0 while it is live.
	leftAt atomic.Int64

	// own counts this instance's attempts in flight.
	own counts
	// ownShort counts the prefill tokens of own short work.
	ownShort atomic.Int64
	// ownShortWaiting counts own short attempts without a first token.
	ownShortWaiting atomic.Int64
	// slots is how many sequences ran when the last report showed a queue; 0 when it showed none. KV memory can
	// fill up before the slots of the profile do.
	slots atomic.Int64
	// ownLong counts own long attempts in flight.
	ownLong atomic.Int64
	// others is the last report less the own counts at the time of the report.
	others counts
	// reportAt is when the last report was taken, in ns since the epoch.
	reportAt atomic.Int64
	// gap is the recent time between tokens and delay the recent ratio of observed to predicted first-token times.
	gap   average
	delay average
	// progressAt is when the endpoint last produced anything for this instance, in ns since the epoch.
	progressAt atomic.Int64
	// cacheEpoch grows at each gap in the cache events.
	cacheEpoch atomic.Uint32

	// peers is shared by the endpoints of the service.
	peers   *peers
	history history
	cache   cacheCursor
}

// leave marks the endpoint as leaving; the first mark counts.
func (s *state) leave(now time.Time) {
	s.leftAt.CompareAndSwap(0, now.UnixNano())
}

func (s *state) leaving() bool { return s.leftAt.Load() != 0 }

// leftFor is how long the endpoint has been leaving; 0 while it is live.
func (s *state) leftFor(now time.Time) time.Duration {
	at := s.leftAt.Load()
	if at == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - at)
}

// counts are requests and tokens not yet done.
type counts struct {
	running atomic.Int64
	prefill atomic.Int64
	decode  atomic.Int64
}

func (c *counts) read() sample {
	return sample{running: c.running.Load(), prefill: c.prefill.Load(), decode: c.decode.Load()}
}

func (c *counts) store(s sample) {
	c.running.Store(s.running)
	c.prefill.Store(s.prefill)
	c.decode.Store(s.decode)
}

// load is the corrected total: own work now, and the others' work if the report is fresh.
func (s *state) load(q *query) sample {
	total := s.own.read()
	if !q.cfg.UseReports || !s.fresh(q) {
		return total
	}
	total.running += blend(&s.others.running, q.peers.running, q.cfg.ReportTrust)
	total.prefill += blend(&s.others.prefill, q.peers.prefill, q.cfg.ReportTrust)
	total.decode += blend(&s.others.decode, q.peers.decode, q.cfg.ReportTrust)
	return total
}

func (s *state) fresh(q *query) bool {
	at := s.reportAt.Load()
	return at != 0 && q.nowNs-at <= int64(q.cfg.ReportExpiry)
}

// slowness returns at least 1: the ratio of the endpoint's recent times to the usual ones.
func (s *state) slowness(q *query) float64 {
	limit := q.cfg.StragglerRatio
	if limit <= 0 || q.usualGap <= 0 {
		return 1
	}
	silence := s.silence(q)
	// Averages only decay: when they are below the limit without decay, the decay need not be computed.
	if silence < limit && s.gap.mean() < limit*q.usualGap && s.delay.mean() < limit {
		return 1
	}
	ratio := max(s.gap.read(q.nowNs)/q.usualGap, s.delay.read(q.nowNs), silence)
	if ratio < limit {
		return 1
	}
	return min(ratio, maxSlowness)
}

// maxSlowness bounds the slowness, so that one outlier cannot exclude an endpoint for long.
const maxSlowness = 30

// silence is the time since the last progress as a multiple of the usual gap, when own streams are running.
func (s *state) silence(q *query) float64 {
	at := s.progressAt.Load()
	if at == 0 || s.own.running.Load() == 0 || s.own.prefill.Load() > 0 {
		return 0
	}
	// A quiet period is only as suspicious as one gap: half of it counts, because a step with prefill is longer.
	return float64(q.nowNs-at) / q.usualGap / 2
}
