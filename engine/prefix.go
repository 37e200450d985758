package engine

import "github.com/zeebo/xxh3"

const (
	// bytesPerToken is the usual ratio for text.
	bytesPerToken = 4
	// messageTokens is the overhead of a message's role and separators.
	messageTokens = 4
)

// Prefix is a leading part of a prompt that ends at the end of a message.
type Prefix struct {
	// Hash is the Prefix of CacheEvent.
	Hash uint64
	// Tokens is the estimated length of the part.
	Tokens int
}

// EstimateTokens returns the estimated length of a text in tokens.
func EstimateTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// PromptTokens returns the estimated length of a prompt in tokens.
func PromptTokens(messages []Message) int {
	tokens := 0
	for _, message := range messages {
		tokens += messageTokens + EstimateTokens(message.Content)
	}
	return tokens
}

// Prefixes returns the prefixes of a prompt, shortest first. Prompts of the
// same model that begin with the same messages share the hashes of that part.
func Prefixes(model string, messages []Message) []Prefix {
	prefixes := make([]Prefix, len(messages))
	hash := xxh3.HashString(model)
	tokens := 0
	for i, message := range messages {
		hash = xxh3.HashStringSeed(message.Role, hash)
		hash = xxh3.HashStringSeed(message.Content, hash)
		tokens += messageTokens + EstimateTokens(message.Content)
		prefixes[i] = Prefix{Hash: hash, Tokens: tokens}
	}
	return prefixes
}
