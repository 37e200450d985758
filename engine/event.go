package engine

// Event is one step of a streamed completion.
type Event struct {
	// Index is the token's position in the whole answer, from 0, counted over attempts.
	Index int
	// Token is the generated text; "" in an event that only finishes.
	Token string
	// Finish is "" until the last event: "stop" or "length".
	Finish string
	// Usage is set in the last event.
	Usage *Usage
}

// Usage counts the tokens of an attempt.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// RecomputedTokens were prefilled again although an earlier attempt had computed them.
	RecomputedTokens int `json:"recomputed_tokens"`
}
