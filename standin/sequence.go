package standin

import (
	"knapweedhoist/engine"
)

// sequenceState is the lifecycle state of a sequence.
type sequenceState uint8

const (
	sequenceQueued sequenceState = iota
	sequenceRunning
	sequenceFinished
	sequenceCancelled
	sequenceBroken
)

// sequence is one attempt in an engine. Engine.mu guards its fields.
type sequence struct {
	request engine.Request
	answer  Answer
	// arrival orders sequences of the same priority.
	arrival uint64
	state   sequenceState
	// remainingPrefill is the number of tokens still to compute before the first new token.
	remainingPrefill int
	// generated is the number of generated tokens of the answer, including those of earlier attempts.
	generated int
	usage     engine.Usage
	record    *Attempt
	// changed receives a value after a generated token and at the end of the sequence; several changes before
	// it is read count as one.
	changed chan struct{}
}

func newSequence(request engine.Request) *sequence {
	s := &sequence{request: request, answer: ExpectedAnswer(request), changed: make(chan struct{}, 1)}
	s.generated = s.resumedTokens()
	s.usage.PromptTokens = engine.PromptTokens(request.Messages)
	return s
}

// resumedTokens returns the number of tokens that earlier attempts generated, at most the length of the answer.
func (s *sequence) resumedTokens() int {
	if s.request.Resume == nil {
		return 0
	}
	return min(len(s.request.Resume.Tokens), s.answer.Tokens)
}

// admit starts the sequence and sets its remaining prefill; covered is the number of cached tokens.
func (s *sequence) admit(covered int) {
	s.state = sequenceRunning
	s.remainingPrefill = max(0, s.usage.PromptTokens+s.resumedTokens()-covered)
	if s.request.Resume != nil {
		s.usage.RecomputedTokens = s.remainingPrefill
	}
}

// generateToken generates one token, if any remains, and finishes the sequence
// at the end of the answer.
func (s *sequence) generateToken() {
	if s.generated < s.answer.Tokens {
		s.generated++
	}
	s.usage.CompletionTokens = s.generated - s.resumedTokens()
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
	case s.changed <- struct{}{}:
	default:
	}
}

// resumeMismatch reports whether the tokens in Resume differ from the start of the answer.
func (s *sequence) resumeMismatch() bool {
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
