package routing

// Work describes what one attempt requires of an endpoint.
type Work struct {
	Service string
	// Model is empty for plain services.
	Model string
	// PromptTokens and DecodeTokens are the expected numbers of tokens; DecodeTokens is at least 1.
	PromptTokens int
	DecodeTokens int
	// Short marks work that is sent with the engine's higher priority.
	Short bool
	// Prefixes are the prompt's prefixes, longest first; the first MaxPrefixes are used.
	Prefixes []Prefix
	// Avoid is the ID of an endpoint that must not be chosen, for retries and hedges; "" for none.
	Avoid string
}

// Prefix is a prompt prefix that an engine may hold in its KV cache: its hash and its length in tokens.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// MaxPrefixes bounds the prefixes of a Work that are looked up and recorded.
const MaxPrefixes = 4
