package engine

import "github.com/zeebo/xxh3"

const (
	// bytesPerToken is the usual number of bytes of text per token.
	bytesPerToken = 4
	// messageTokens is the number of tokens of a message's role and separators.
	messageTokens = 4
)

// Prefix identifies a prefix of a prompt that consists of whole messages.
type Prefix struct {
	// Hash is the hash of the model and the messages, which CacheEvent.Prefix also carries.
	Hash uint64
	// Tokens is the estimated length of the prefix, in tokens.
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

// Prefixes returns the prefixes of a prompt, shortest first. Prompts to the same model that begin with the same messages
// have equal hashes for these messages.
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
