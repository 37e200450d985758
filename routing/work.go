package routing

// Work is what one attempt asks of an endpoint.
type Work struct {
	Service string
	// Model is empty for plain services.
	Model string
	// PromptTokens and DecodeTokens are the expected work; DecodeTokens is at least 1.
	PromptTokens int
	DecodeTokens int
	// Short work is sent with the engine's higher priority.
	Short bool
	// Prefixes are the hashes of the prompt's prefixes, longest first; at most MaxPrefixes are used.
	Prefixes []Prefix
	// Avoid names an endpoint that must not be chosen, for retries and hedges; "" for none.
	Avoid string
}

// Prefix is a prompt prefix that an engine may hold in its KV cache.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// MaxPrefixes bounds the prefix lookups of one decision.
const MaxPrefixes = 4
