package admission

import "knapweedhoist/engine"

// Estimate is the expected size of a request in tokens, with the class that follows from it.
type Estimate struct {
	Class    Class
	Priority engine.Priority
	// PromptTokens is the given prompt length; DecodeTokens is the expected output length.
	PromptTokens int
	DecodeTokens int
}

// Tokens returns the sum of prompt and expected output tokens.
func (e Estimate) Tokens() int { return e.PromptTokens + e.DecodeTokens }
