package admission

import "knapweedhoist/engine"

// Estimate is the expected work of a request.
type Estimate struct {
	Class    Class
	Priority engine.Priority
	// PromptTokens is as given; DecodeTokens is the expected length of the answer.
	PromptTokens int
	DecodeTokens int
}

// Tokens is the whole expected work.
func (e Estimate) Tokens() int { return e.PromptTokens + e.DecodeTokens }
