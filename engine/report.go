package engine

// LoadReport is what an engine says of its own load. It lags.
type LoadReport struct {
	// AtMs is when the report was taken, in milliseconds since the Unix epoch.
	AtMs int64 `json:"at_ms"`
	// Running and Queued count requests; the token counts are prefill and decode work not yet done.
	Running       int  `json:"running"`
	Queued        int  `json:"queued"`
	PrefillTokens int  `json:"prefill_tokens"`
	DecodeTokens  int  `json:"decode_tokens"`
	Leaving       bool `json:"leaving,omitempty"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prefix.
	Prefix  uint64 `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted,omitempty"`
}

// KVHandle names an exported KV cache.
type KVHandle struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
	// Source is the address of the engine that holds the export.
	Source string `json:"source"`
}
