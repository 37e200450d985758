package engine

// LoadReport is an engine's report of its own load. It lags behind the actual load.
type LoadReport struct {
	// AtMs is when the engine measured its load, in milliseconds since the Unix epoch.
	AtMs int64 `json:"at_ms"`
	// Running and Queued are numbers of requests. PrefillTokens and DecodeTokens are the prefill and decode
	// work not yet done, in tokens.
	Running       int  `json:"running"`
	Queued        int  `json:"queued"`
	PrefillTokens int  `json:"prefill_tokens"`
	DecodeTokens  int  `json:"decode_tokens"`
	Leaving       bool `json:"leaving,omitempty"`
}

// CacheEvent reports that a prompt prefix was stored in an engine's prefix cache or evicted from it.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prefix, as in Prefix.Hash.
	Prefix  uint64 `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted,omitempty"`
}

// KVHandle identifies an exported KV cache.
type KVHandle struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
	// Source is the address of the engine that holds the export.
	Source string `json:"source"`
}
