package routing

import "time"

// estimate holds the predicted times, in ns, of the work at one candidate.
type estimate struct {
	// firstToken is the time to the first token.
	firstToken float64
	// uncorrected is firstToken without query.correction.
	uncorrected float64
	// total is the time to the last token.
	total float64
	// score orders the candidates; the lowest is chosen.
	score        float64
	cachedTokens int
}

// query is the input of one decision, the same for all candidates.
type query struct {
	nowNs int64
	// peerLoad is the load that the other instances together put on an endpoint of the service, averaged over the recent
	// reports of all its endpoints.
	peerLoad peerLoad
	// work is what the attempt requires. Short work is sent with the engine's higher priority; all other work is long.
	work *Work
	cfg  *Config
	// groupInterTokenNs is the mean time between tokens, in ns, over all endpoints of the same service and model; 0 before
	// the first observation.
	groupInterTokenNs float64
	// correction multiplies the predicted first-token time: groupStats.longCorrection for long work, 1 for short work.
	correction float64
	// holders are the endpoints recorded as holding the longest prefix of the prompt for which any endpoint is recorded.
	holders [holdersPerPrefix]holder
}

const (
	// otherPrefillShare is the share of the endpoint's remaining prefill tokens, other than those of this instance's short
	// work, that short work is assumed to wait for: engines run short work first, but finish a prefill chunk that has
	// begun.
	otherPrefillShare = 0.1
	// reservedPenalty multiplies the score, for long work, of an endpoint reserved for short work, so that it is used only
	// when the others are several times slower.
	reservedPenalty = 6
	// longWorkPenalty is in ns. It is multiplied by the endpoint's slowdown and added to the score of short work for each
	// of the instance's own long attempts in flight at the endpoint: their prefill chunks make steps longer.
	longWorkPenalty = float64(4 * time.Millisecond)
	// decodeWeight is the weight of the decode time in the score: the time to the first token has priority.
	decodeWeight = 0.25
)

// estimate predicts the times of the work at the candidate and computes its score.
func (q *query) estimate(c *candidate) estimate {
	s := c.state
	load := s.estimatedLoad(q)
	slowdown := s.slowdown(q)
	cachedTokens := q.cachedTokens(s)
	step := max(c.stepTime(load.running+1), q.groupInterTokenNs) * slowdown
	prefill := q.prefillTime(c, load, cachedTokens) * slowdown
	uncorrected := prefill + c.queueTime(load, step, q.work.Short) + step
	firstToken := uncorrected * q.correction
	decode := step * float64(q.work.DecodeTokens)
	e := estimate{firstToken: firstToken, uncorrected: uncorrected, total: firstToken + decode, cachedTokens: cachedTokens}
	e.score = (firstToken + decodeWeight*decode) * q.cfg.slowStartFactor(q.nowNs, c.readyAt)
	if q.work.Short {
		e.score += longWorkPenalty * float64(s.ownLongRunning.Load()) * slowdown
	} else if c.reserved {
		e.score *= reservedPenalty
	}
	return e
}

// stepTime returns the time, in ns, of a decode step with n sequences in the batch.
func (c *candidate) stepTime(n int64) float64 {
	n = min(n, int64(c.profile.Slots))
	return float64(c.profile.StepBase) + float64(n)*float64(c.profile.StepPerSequence)
}

// prefillTime returns the time, in ns, until the prefill tokens ahead of the work and its own uncached prompt tokens
// are processed.
func (q *query) prefillTime(c *candidate, load loadSample, cachedTokens int) float64 {
	ahead := float64(load.prefill)
	if q.work.Short {
		ownShort := float64(c.state.ownShortPrefill.Load())
		ahead = ownShort + (ahead-ownShort)*otherPrefillShare
	}
	tokens := max(0, ahead) + float64(max(0, q.work.PromptTokens-cachedTokens))
	return tokens / c.profile.PrefillPerSecond * float64(time.Second)
}

// concurrentSequences returns how many sequences the endpoint runs at once: the slots of its profile, or observedSlots
// if that is lower.
func (c *candidate) concurrentSequences() int64 {
	slots := int64(c.profile.Slots)
	if n := c.state.observedSlots.Load(); n > 0 {
		return min(n, slots)
	}
	return slots
}

// queueTime returns the time, in ns, until the work gets a slot. Of the waiting work, only short work is ahead of short
// work.
func (c *candidate) queueTime(load loadSample, step float64, short bool) float64 {
	slots := c.concurrentSequences()
	slotsNeeded := load.running + 1 - slots
	if slotsNeeded <= 0 {
		return 0
	}
	slotFreeInterval := float64(load.decode) / float64(load.running) * step / float64(slots)
	if short {
		slotsNeeded = min(slotsNeeded, 1+c.waitingShortWork(load))
	}
	return slotFreeInterval * float64(slotsNeeded)
}

// waitingShortWork estimates how many short attempts of all instances wait for their first token at the endpoint: the
// number at this instance, multiplied by the ratio of all running attempts to this instance's running attempts.
func (c *candidate) waitingShortWork(load loadSample) int64 {
	ownRunning := c.state.ownLoad.running.Load()
	if ownRunning == 0 {
		return 0
	}
	return c.state.ownShortWaiting.Load() * load.running / ownRunning
}

// cachedTokens returns the prompt tokens expected in the endpoint's cache, scaled by Config.AffinityWeight.
func (q *query) cachedTokens(s *endpointState) int {
	for i := range q.holders {
		if q.holders[i].state == s {
			return min(q.work.PromptTokens, int(float64(q.holders[i].cachedTokens())*q.cfg.AffinityWeight))
		}
	}
	return 0
}
