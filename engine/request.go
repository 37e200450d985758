package engine

// Priority is the scheduling priority of a request inside an engine; a larger value runs first.
type Priority int

// Priorities of long and short requests.
const (
	PriorityLong  Priority = 0
	PriorityShort Priority = 10
)

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is one attempt at a completion.
type Request struct {
	// ID is the request's id, which all its attempts share. Attempt is the number of this attempt, from 1.
	ID        string    `json:"-"`
	Attempt   int       `json:"-"`
	Priority  Priority  `json:"-"`
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	// Resume is set if the attempt continues an earlier one.
	Resume *Resume `json:"resume,omitempty"`
}

// Resume is the state from which an attempt continues.
type Resume struct {
	// Tokens are the tokens generated so far, in order.
	Tokens []string `json:"tokens"`
	// KVHandle is the ID of an imported KV cache. If it is "", the engine recomputes the cache from the prompt and Tokens.
	KVHandle string `json:"kv_handle,omitempty"`
}
