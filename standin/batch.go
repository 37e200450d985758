package standin

import (
	"slices"
	"time"
)

// batch is the service-time model of continuous batching: each step computes
// a chunk of prefill and one token of each decoding sequence. It is not safe
// for concurrent use.
type batch struct {
	cfg     EngineConfig
	queue   []*sequence
	running []*sequence
}

// step is the work of one batch iteration and its duration.
type step struct {
	prefill  []prefillShare
	decode   []*sequence
	duration time.Duration
}

type prefillShare struct {
	sequence *sequence
	tokens   int
}

func (s step) empty() bool {
	return len(s.prefill) == 0 && len(s.decode) == 0
}

// enqueue inserts a sequence after those of the same or a higher priority. It
// returns false when both the queue and the batch are full.
func (b *batch) enqueue(s *sequence) bool {
	if len(b.queue) >= b.cfg.MaxQueue && len(b.running) >= b.cfg.MaxBatch {
		return false
	}
	at := slices.IndexFunc(b.queue, func(other *sequence) bool { return precedes(s, other) })
	if at < 0 {
		at = len(b.queue)
	}
	b.queue = slices.Insert(b.queue, at, s)
	return true
}

// precedes reports whether s is ordered before other: by priority, then by arrival.
func precedes(s, other *sequence) bool {
	if s.request.Priority != other.request.Priority {
		return s.request.Priority > other.request.Priority
	}
	return s.arrival < other.arrival
}

// admitQueued moves queued sequences into the batch and calls admit for each.
func (b *batch) admitQueued(admit func(*sequence)) {
	for len(b.queue) > 0 && len(b.running) < b.cfg.MaxBatch {
		s := b.queue[0]
		b.queue = b.queue[1:]
		b.running = append(b.running, s)
		admit(s)
	}
}

// plan returns the next step. The prefill budget is assigned in priority order.
func (b *batch) plan() step {
	var next step
	budget := b.cfg.PrefillChunk
	for _, s := range b.byPriority() {
		if s.remainingPrefill == 0 {
			next.decode = append(next.decode, s)
			continue
		}
		if tokens := min(s.remainingPrefill, budget); tokens > 0 {
			next.prefill = append(next.prefill, prefillShare{sequence: s, tokens: tokens})
			budget -= tokens
		}
	}
	next.duration = b.stepDuration(len(next.decode), b.cfg.PrefillChunk-budget)
	return next
}

func (b *batch) byPriority() []*sequence {
	order := slices.Clone(b.running)
	slices.SortFunc(order, func(s, other *sequence) int {
		if precedes(s, other) {
			return -1
		}
		return 1
	})
	return order
}

func (b *batch) stepDuration(decoding, prefill int) time.Duration {
	duration := time.Duration(float64(prefill) / b.cfg.PrefillPerSecond * float64(time.Second))
	if decoding > 0 {
		duration += b.cfg.InterToken + time.Duration(decoding-1)*b.cfg.InterTokenEach
	}
	return duration
}

// commit applies a step to the sequences that are still running. The last chunk
// of a prefill also generates the first token; prefillDone is called when a
// prefill is complete.
func (b *batch) commit(done step, prefillDone func(*sequence)) {
	for _, share := range done.prefill {
		s := share.sequence
		if s.state != sequenceRunning {
			continue
		}
		s.remainingPrefill -= share.tokens
		if s.remainingPrefill == 0 {
			prefillDone(s)
			s.generateToken()
		}
	}
	for _, s := range done.decode {
		if s.state == sequenceRunning {
			s.generateToken()
		}
	}
	b.removeEnded()
}

// removeEnded removes the sequences that are neither queued nor running.
func (b *batch) removeEnded() {
	ended := func(s *sequence) bool { return !s.active() }
	b.running = slices.DeleteFunc(b.running, ended)
	b.queue = slices.DeleteFunc(b.queue, ended)
}

// remainingTokens returns the prefill and decode tokens not yet computed. The prefill of
// queued sequences counts in full, since their cached tokens are looked up at admission.
func (b *batch) remainingTokens() (prefill, decode int) {
	for _, s := range b.running {
		prefill += s.remainingPrefill
		decode += s.answer.Tokens - s.generated
	}
	for _, s := range b.queue {
		prefill += s.usage.PromptTokens + s.resumedTokens()
		decode += s.answer.Tokens - s.generated
	}
	return prefill, decode
}
