package routing

import "time"

// estimate is what one endpoint is predicted to do with the work, in ns.
type estimate struct {
	first float64
	// raw is first without the correction.
	raw   float64
	total float64
	// score orders the candidates: lower is better.
	score  float64
	cached int
}

// query is one decision's input, fixed over all candidates.
type query struct {
	nowNs int64
	// peers is the mean load that others put on an endpoint of the service.
	peers peerLoad
	work  *Work
	cfg   *Config
	// usualGap is the group's usual time between tokens in ns.
	usualGap float64
	// correction multiplies the predicted first-token time.
	correction float64
	holders    [cacheHolders]holder
}

const (
	// shortPrefillShare is how much of the prefill of others delays short work: engines run short work first,
	// but a chunk that has begun is finished.
	shortPrefillShare = 0.1
	// reservedPenalty multiplies the score of a reserved endpoint for long work, so that it is used only when
	// the others are several times slower.
	reservedPenalty = 6
	// crowdPenalty is the cost, for short work, of each long attempt in flight at an endpoint: its prefill
	// chunks make steps longer.
	crowdPenalty = float64(4 * time.Millisecond)
	// decodeShare is the weight of the decode time in the score: the target for the first token comes first.
	decodeShare = 0.25
)

// estimate predicts the work's times at the candidate.
func (q *query) estimate(c *candidate) estimate {
	s := c.state
	load := s.load(q)
	slow := s.slowness(q)
	cached := q.cached(s)
	step := max(c.step(load.running+1), q.usualGap) * slow
	prefill := q.prefill(c, load, cached) * slow
	raw := prefill + c.queue(load, step, q.work.Short) + step
	first := raw * q.correction
	decode := step * float64(q.work.DecodeTokens)
	e := estimate{first: first, raw: raw, total: first + decode, cached: cached}
	e.score = (first + decodeShare*decode) * q.cfg.youth(q.nowNs, c.readyAt)
	if q.work.Short {
		e.score += crowdPenalty * float64(s.ownLong.Load()) * slow
	} else if c.reserved {
		e.score *= reservedPenalty
	}
	return e
}

// step is the time of a decode step with n sequences in the batch.
func (c *candidate) step(n int64) float64 {
	n = min(n, int64(c.profile.Slots))
	return float64(c.profile.StepBase) + float64(n)*float64(c.profile.StepPerSequence)
}

// prefill is the time until the prompt is processed.
func (q *query) prefill(c *candidate, load sample, cached int) float64 {
	ahead := float64(load.prefill)
	if q.work.Short {
		own := float64(c.state.ownShort.Load())
		ahead = own + (ahead-own)*shortPrefillShare
	}
	tokens := max(0, ahead) + float64(max(0, q.work.PromptTokens-cached))
	return tokens / c.profile.PrefillPerSecond * float64(time.Second)
}

// slots is how many sequences the endpoint runs at once.
func (c *candidate) slots() int64 {
	slots := int64(c.profile.Slots)
	if n := c.state.slots.Load(); n > 0 {
		return min(n, slots)
	}
	return slots
}

// queue is the time until a slot is free. Short work waits only behind short work.
func (c *candidate) queue(load sample, step float64, short bool) float64 {
	slots := c.slots()
	waiting := load.running + 1 - slots
	if waiting <= 0 {
		return 0
	}
	perSequence := float64(load.decode) / float64(load.running) * step / float64(slots)
	if short {
		waiting = min(waiting, 1+c.shortWaiting(load))
	}
	return perSequence * float64(waiting)
}

// shortWaiting estimates the short work of all instances that waits, from the own part.
func (c *candidate) shortWaiting(load sample) int64 {
	own := c.state.own.running.Load()
	if own == 0 {
		return 0
	}
	return c.state.ownShortWaiting.Load() * load.running / own
}

// cached is the credited prefix at the endpoint.
func (q *query) cached(s *state) int {
	for i := range q.holders {
		if q.holders[i].state == s {
			return min(q.work.PromptTokens, int(float64(q.holders[i].credit())*q.cfg.AffinityWeight))
		}
	}
	return 0
}
