package dispatch

import (
	"math"
	"time"

	"knapweedhoist/fleetstate"
)

// endpointState holds the load, failures and cached prefixes of one endpoint. Balancer.mu guards it.
type endpointState struct {
	// startedAtMs is the start of the endpoint's process. The state of an earlier process does not apply to a later one.
	startedAtMs int64
	// leaving is set once an answer has stated that the endpoint leaves. pausedUntil and crashedUntil are the ends of the
	// other reasons to avoid it. reported is the reason that was last logged, until its end is logged.
	leaving                   bool
	pausedUntil, crashedUntil time.Time
	reported                  Reason
	// running is the number of this instance's requests in flight at the endpoint.
	running int
	// pendingTokens is the number of uncached prompt tokens of those requests that have no first token yet.
	pendingTokens int
	// others is the load that the other instances put on the endpoint.
	others fleetstate.EndpointLoad
	load   Load
	// failures counts consecutive requests that ended as Shed, Failed or TimedOut.
	failures      int
	lastFailureAt time.Time
	// served and failed count this instance's recent outcomes, slowdown is the sum of served answers' slowdowns. They
	// decay with outcomeMemory; decayedAt is when they last did.
	served, failed, slowdownSum float64
	decayedAt                   time.Time
	// cachedParts maps the ID of a prompt part to the time of its last use at the endpoint.
	cachedParts map[uint64]time.Time
	lastUsedAt  time.Time
}

const (
	// loadTTL is how long a reported slowdown is used; the slowdown changes many times a second.
	loadTTL = 500 * time.Millisecond
	// outcomeMemory is the time constant with which earlier outcomes lose their weight.
	outcomeMemory = 1500 * time.Millisecond
	// minSlowdown and maxSlowdown bound the slowdown that is derived from answers.
	minSlowdown, maxSlowdown = 0.7, 8.0
	// priorAnswers is the weight, in answers at normal speed, of the assumption that an endpoint is not slowed down.
	priorAnswers = 2.0
)

// total returns the number of requests of all instances at the endpoint.
func (s *endpointState) total() int { return s.running + s.others.Running }

// slowdown returns the slowdown in a recent report of the endpoint, or the mean one of recent answers.
func (s *endpointState) slowdown(now time.Time) float64 {
	if s.load.Slowdown > 0 && now.Sub(s.load.At) <= loadTTL {
		return s.load.Slowdown
	}
	s.decay(now)
	served := s.served + s.others.Served
	mean := (priorAnswers + s.slowdownSum + s.others.Slowdown) / (priorAnswers + served)
	return min(max(mean, minSlowdown), maxSlowdown)
}

// failurePenalty returns the cost of recent failures: of those of this instance in a row, or of the part that failed at
// all instances, whichever is higher.
func (s *endpointState) failurePenalty(now time.Time, cfg Config) time.Duration {
	return max(s.ownFailurePenalty(now, cfg), s.sharedFailurePenalty(now, cfg))
}

func (s *endpointState) ownFailurePenalty(now time.Time, cfg Config) time.Duration {
	if s.failures == 0 {
		return 0
	}
	doublings := min(s.failures-1, maxFailureDoublings)
	if now.Sub(s.lastFailureAt) > cfg.FailureTTL<<doublings {
		return 0
	}
	return cfg.FailurePenalty << doublings
}

// sharedFailurePenalty grows with the part of the recent requests of all instances that failed, up to that of
// maxFailureDoublings failures in a row.
func (s *endpointState) sharedFailurePenalty(now time.Time, cfg Config) time.Duration {
	s.decay(now)
	failed, served := s.failed+s.others.Failed, s.served+s.others.Served
	if failed < minSharedFailures {
		return 0
	}
	return time.Duration(failed / (failed + served) * float64(cfg.FailurePenalty<<maxFailureDoublings))
}

// minSharedFailures is the decayed number of failures at all instances below which they cause no penalty.
const minSharedFailures = 1.0

func (s *endpointState) recordFailure(now time.Time) {
	s.decay(now)
	s.failed++
	s.failures++
	s.lastFailureAt = now
}

// recordAnswer counts an answer that took slowdown times as long as expected.
func (s *endpointState) recordAnswer(now time.Time, slowdown float64) {
	s.decay(now)
	s.served++
	s.slowdownSum += min(slowdown, maxSlowdown)
}

// decay lowers the weight of the outcomes by the time since the last call.
func (s *endpointState) decay(now time.Time) {
	if elapsed := now.Sub(s.decayedAt); !s.decayedAt.IsZero() && elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / outcomeMemory.Seconds())
		s.served, s.failed, s.slowdownSum = s.served*factor, s.failed*factor, s.slowdownSum*factor
	}
	s.decayedAt = now
}

// own returns the load of this instance.
func (s *endpointState) own(now time.Time) fleetstate.EndpointLoad {
	s.decay(now)
	return fleetstate.EndpointLoad{
		Running: s.running, PendingTokens: s.pendingTokens, Failed: s.failed, Served: s.served, Slowdown: s.slowdownSum,
	}
}

// uncachedTokens returns the number of prompt tokens that the endpoint has to prefill. ttl is the lifetime of a cached
// part after its last use.
func (s *endpointState) uncachedTokens(now time.Time, query Query, ttl time.Duration) int {
	uncached := query.Tokens
	for _, part := range query.Prompt {
		lastUse, ok := s.cachedParts[part.ID]
		if !ok || now.Sub(lastUse) > ttl {
			break
		}
		uncached -= part.Tokens
	}
	return max(uncached, 0)
}

// markCached records that the endpoint has the parts of the prompt in its cache from now on.
func (s *endpointState) markCached(now time.Time, prompt []Part) {
	if s.cachedParts == nil {
		s.cachedParts = make(map[uint64]time.Time)
	}
	for _, part := range prompt {
		s.cachedParts[part.ID] = now
	}
}
