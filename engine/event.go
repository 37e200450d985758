package engine

// Event is one event of a streamed completion: a token, the finish, or both.
type Event struct {
	// Index is the token's position in the whole answer, from 0, counted across attempts.
	Index int
	// Token is the generated text; "" in a last event without a token.
	Token string
	// FinishReason is "stop" or "length" in the last event, and "" in all others.
	FinishReason string
	// Usage is set in the last event.
	Usage *Usage
}

// Usage counts the tokens of an attempt.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// RecomputedTokens is the number of tokens that were prefilled again although an earlier attempt had computed them.
	RecomputedTokens int `json:"recomputed_tokens"`
}
