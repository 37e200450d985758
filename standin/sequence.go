package standin

import (
	"knapweedhoist/engine"
)

// sequenceState is the state of a sequence.
type sequenceState uint8

const (
	sequenceQueued sequenceState = iota
	sequenceRunning
	sequenceFinished
	sequenceCancelled
	sequenceBroken
)

// sequence is one attempt inside an engine. The engine's mutex guards it.
type sequence struct {
	request engine.Request
	answer  Answer
	// arrival orders sequences of the same priority.
	arrival uint64
	state   sequenceState
	// prefill is the number of tokens still to be computed before the first new token.
	prefill int
	// generated is the number of tokens of the answer that exist, with those of earlier attempts.
	generated int
	usage     engine.Usage
	record    *Attempt
	// ready gets a value after each change.
	ready chan struct{}
}

func newSequence(request engine.Request) *sequence {
	s := &sequence{request: request, answer: ExpectedAnswer(request), ready: make(chan struct{}, 1)}
	s.generated = s.resumed()
	s.usage.PromptTokens = engine.PromptTokens(request.Messages)
	return s
}

// resumed is the number of tokens that earlier attempts generated, at most the whole answer.
func (s *sequence) resumed() int {
	if s.request.Resume == nil {
		return 0
	}
	return min(len(s.request.Resume.Tokens), s.answer.Tokens)
}

// admit sets the work of prefill, of which covered tokens are held by a cache.
func (s *sequence) admit(covered int) {
	s.state = sequenceRunning
	s.prefill = max(0, s.usage.PromptTokens+s.resumed()-covered)
	if s.request.Resume != nil {
		s.usage.RecomputedTokens = s.prefill
	}
}

// decode adds one token, or ends the sequence when there is none to add.
func (s *sequence) decode() {
	if s.generated < s.answer.Tokens {
		s.generated++
	}
	s.usage.CompletionTokens = s.generated - s.resumed()
	if s.generated == s.answer.Tokens {
		s.end(sequenceFinished)
	}
	s.notify()
}

func (s *sequence) end(state sequenceState) {
	s.state = state
	s.notify()
}

func (s *sequence) active() bool {
	return s.state == sequenceQueued || s.state == sequenceRunning
}

func (s *sequence) notify() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// mismatch reports whether the resumed tokens differ from the answer.
func (s *sequence) mismatch() bool {
	if s.request.Resume == nil {
		return false
	}
	if len(s.request.Resume.Tokens) > s.answer.Tokens {
		return true
	}
	for i, token := range s.request.Resume.Tokens {
		if token != s.answer.Token(i) {
			return true
		}
	}
	return false
}
