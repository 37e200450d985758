package admission

import "knapweedhoist/engine"

// Estimate is the expected size of a request in tokens, with its length class and the engine priority of that class.
type Estimate struct {
	Class    Class
	Priority engine.Priority
	// PromptTokens is the prompt length that was passed to Estimator.Estimate. OutputTokens is the expected output
	// length, at least 1.
	PromptTokens int
	OutputTokens int
}

// Tokens returns the sum of prompt and expected output tokens.
func (e Estimate) Tokens() int { return e.PromptTokens + e.OutputTokens }
