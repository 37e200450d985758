package engine

// HTTP header fields of a completion request.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
	HeaderPriority  = "X-Priority"
)

// StreamEnd is the data of the last server-sent event of a completion.
const StreamEnd = "[DONE]"

// StatusLeaving is the status member of the ProblemBody that Client maps to ErrLeaving.
const StatusLeaving = "leaving"

// CompletionBody is the JSON body of POST /v1/chat/completions.
type CompletionBody struct {
	Request
	Stream bool `json:"stream"`
}

// Chunk is the data of one server-sent event of a completion. The id of the event is the index of its token.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ChunkObject is the object member of a Chunk.
const ChunkObject = "chat.completion.chunk"

// Choice is the single element of Chunk.Choices.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a Chunk appends to the answer.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// ExportBody is the JSON body of POST /v1/kv/export.
type ExportBody struct {
	ID      string `json:"id"`
	Attempt int    `json:"attempt"`
}

// CacheEventsBody is the JSON body of the reply to GET /v1/cache-events.
type CacheEventsBody struct {
	Events []CacheEvent `json:"events"`
}

// ProblemBody is the JSON body of an error reply.
type ProblemBody struct {
	Error  string `json:"error"`
	Status string `json:"status,omitempty"`
}
