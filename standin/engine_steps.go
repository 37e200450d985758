package standin

import (
	"time"

	"knapweedhoist/engine"
)

// startSteps starts runSteps, unless it is running already. The caller holds e.mu.
func (e *Engine) startSteps() {
	if e.stepping {
		return
	}
	e.stepping = true
	go e.runSteps()
}

// runSteps executes batch steps until there is no work. Each step starts at the
// time when the previous one was due to end, so that late timers do not slow
// the engine down. If a step was due to end more than its own duration ago, it ends
// at once, and the schedule restarts from the current time.
func (e *Engine) runSteps() {
	due := e.cfg.Clock.Now()
	for {
		next, duration, ok := e.plan()
		if !ok {
			return
		}
		due = due.Add(duration)
		now := e.cfg.Clock.Now()
		if overrun := now.Sub(due); overrun > duration {
			due = now
		}
		if sleep(e.lifetime, e.cfg.Clock, due.Sub(now)) != nil {
			return
		}
		e.commit(next)
	}
}

// plan admits queued sequences and returns the next step and its duration. If there
// is no work, it marks the engine as idle and returns false.
func (e *Engine) plan() (step, time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.removeEnded()
	e.batch.admitQueued(e.admit)
	next := e.batch.plan()
	if next.empty() {
		e.stepping = false
		e.recordLoad()
		return next, 0, false
	}
	return next, time.Duration(float64(next.duration) * e.slowdown), true
}

// admit starts a sequence; the tokens covered by the prefix cache or by a
// stored KV cache need no prefill. The caller holds e.mu.
func (e *Engine) admit(s *sequence) {
	covered := e.cache.lookup(engine.Prefixes(s.request.Model, s.request.Messages))
	if s.request.Resume != nil {
		if handle, ok := e.kv.get(s.request.Resume.KVHandle); ok {
			covered = max(covered, handle.Tokens)
		}
	}
	s.admit(covered)
}

func (e *Engine) commit(done step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.commit(done, e.cachePrompt)
	for _, s := range done.decode {
		if s.state == sequenceFinished {
			e.cacheAnswer(s)
		}
	}
	e.recordLoad()
}

// cachePrompt inserts the prefixes of a prompt into the prefix cache. The caller holds e.mu.
func (e *Engine) cachePrompt(s *sequence) {
	e.cache.insert(engine.Prefixes(s.request.Model, s.request.Messages))
}

// cacheAnswer inserts a prompt with its answer into the prefix cache, so that
// the next turn of the conversation hits it. The caller holds e.mu.
func (e *Engine) cacheAnswer(s *sequence) {
	messages := append(s.request.Messages[:len(s.request.Messages):len(s.request.Messages)],
		engine.Message{Role: "assistant", Content: s.answer.Text()})
	e.cache.insert(engine.Prefixes(s.request.Model, messages))
}
