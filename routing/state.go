package routing

import (
	"sync/atomic"
	"time"
)

// endpointState holds one instance's feedback on one endpoint. Decisions read only its atomic fields. It takes about
// 1.2 KiB, most of it for the load history.
type endpointState struct {
	id string
	// leavingSince is when the endpoint was first marked as leaving, in ns since the epoch; 0 while it is live.
	leavingSince atomic.Int64

	// ownLoad counts this instance's attempts in flight at the endpoint and their remaining tokens.
	ownLoad loadCounters
	// ownShortPrefill counts the remaining prefill tokens of own short attempts.
	ownShortPrefill atomic.Int64
	// ownShortWaiting counts own short attempts without a first token.
	ownShortWaiting atomic.Int64
	// observedSlots is how many sequences ran when the last report showed a queue; 0 when it showed none. It can be
	// lower than the slots of the profile, because KV memory can fill up first.
	observedSlots atomic.Int64
	// ownLongRunning counts own long attempts in flight.
	ownLongRunning atomic.Int64
	// peerLoad is the load of the other instances: the last report less the own counts at the time of the report.
	peerLoad loadCounters
	// reportTakenAt is when the endpoint took the last report, in ns since the epoch; 0 before the first.
	reportTakenAt atomic.Int64
	// interTokenNs is the recent time between tokens in ns.
	interTokenNs ewma
	// firstTokenRatio is the recent ratio of observed to predicted first-token times.
	firstTokenRatio ewma
	// progressAt is when the instance last received a token from the endpoint, in ns since the epoch; 0 before the first.
	progressAt atomic.Int64
	// cacheEpoch grows by 1 whenever cache events were missed.
	cacheEpoch atomic.Uint32

	// peerMeans is shared by all endpoints of the service.
	peerMeans   *peerLoadMeans
	history     loadHistory
	cacheEvents eventCursor
}

// markLeaving marks the endpoint as leaving since now. Further calls have no effect.
func (s *endpointState) markLeaving(now time.Time) {
	s.leavingSince.CompareAndSwap(0, now.UnixNano())
}

func (s *endpointState) leaving() bool { return s.leavingSince.Load() != 0 }

// leavingFor returns how long the endpoint has been leaving; 0 while it is live.
func (s *endpointState) leavingFor(now time.Time) time.Duration {
	at := s.leavingSince.Load()
	if at == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - at)
}

// loadCounters count the attempts in flight at an endpoint, and their prefill and decode tokens that are still to be
// processed.
type loadCounters struct {
	running atomic.Int64
	prefill atomic.Int64
	decode  atomic.Int64
}

func (c *loadCounters) snapshot() loadSample {
	return loadSample{running: c.running.Load(), prefill: c.prefill.Load(), decode: c.decode.Load()}
}

func (c *loadCounters) store(s loadSample) {
	c.running.Store(s.running)
	c.prefill.Store(s.prefill)
	c.decode.Store(s.decode)
}

// estimatedLoad returns the estimated total load of the endpoint: the own load now, plus the blended peer load if
// UseReports is set and the last report has not expired.
func (s *endpointState) estimatedLoad(q *query) loadSample {
	total := s.ownLoad.snapshot()
	if !q.cfg.UseReports || !s.hasCurrentReport(q) {
		return total
	}
	total.running += blend(&s.peerLoad.running, q.peerLoad.running, q.cfg.ReportWeight)
	total.prefill += blend(&s.peerLoad.prefill, q.peerLoad.prefill, q.cfg.ReportWeight)
	total.decode += blend(&s.peerLoad.decode, q.peerLoad.decode, q.cfg.ReportWeight)
	return total
}

// hasCurrentReport reports whether there is a report and it is not older than ReportExpiry.
func (s *endpointState) hasCurrentReport(q *query) bool {
	at := s.reportTakenAt.Load()
	return at != 0 && q.nowNs-at <= int64(q.cfg.ReportExpiry)
}

// slowdown returns the ratio of the endpoint's recent times to the expected ones, at most maxSlowdown: the largest of
// the ratio for the time between tokens, the ratio for the first-token time and stallRatio. It returns 1 if that is
// below StragglerRatio, if StragglerRatio is 0, and before the first observed time between tokens of the group.
func (s *endpointState) slowdown(q *query) float64 {
	limit := q.cfg.StragglerRatio
	if limit <= 0 || q.groupInterTokenNs <= 0 {
		return 1
	}
	stallRatio := s.stallRatio(q)
	// Decay only lowers an average: if all are below the limit without decay, the decay need not be computed.
	if stallRatio < limit && s.interTokenNs.mean() < limit*q.groupInterTokenNs && s.firstTokenRatio.mean() < limit {
		return 1
	}
	ratio := max(s.interTokenNs.decayed(q.nowNs)/q.groupInterTokenNs, s.firstTokenRatio.decayed(q.nowNs), stallRatio)
	if ratio < limit {
		return 1
	}
	return min(ratio, maxSlowdown)
}

// maxSlowdown bounds the slowdown, so that one outlier cannot exclude an endpoint for long.
const maxSlowdown = 30

// stallRatio returns half the time since the last received token as a multiple of the group's mean time between tokens.
// It returns 0 before the first token, while no own attempt is running, and while own prompts are still to be processed.
func (s *endpointState) stallRatio(q *query) float64 {
	at := s.progressAt.Load()
	if at == 0 || s.ownLoad.running.Load() == 0 || s.ownLoad.prefill.Load() > 0 {
		return 0
	}
	// Half of the time counts, because a step with prefill is longer than a decode step.
	return float64(q.nowNs-at) / q.groupInterTokenNs / 2
}
