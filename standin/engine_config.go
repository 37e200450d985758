package standin

import (
	"context"
	"time"

	"knapweedhoist/engine"
)

// EngineConfig describes a model engine. A zero field takes the default.
type EngineConfig struct {
	// Clock is the time; default WallClock.
	Clock Clock
	// Models are the models loaded at the start; none means that any model is served.
	Models []string
	// PrefillPerSecond is the rate of prefill in tokens a second. Default 20000.
	PrefillPerSecond float64
	// PrefillChunk bounds the prompt tokens of one step. Default 512.
	PrefillChunk int
	// InterToken is the time of a step with one sequence, and InterTokenEach is
	// added for each further one. Default 8 ms and 0.25 ms.
	InterToken     time.Duration
	InterTokenEach time.Duration
	// MaxBatch bounds the running sequences, MaxQueue the waiting ones. Default 32 and 128.
	MaxBatch int
	MaxQueue int
	// CacheTokens bounds the prefix cache. Default 262144.
	CacheTokens int
	// CacheEventLag is the delay of cache events, LoadLag the age of load reports. Default 500 ms and 1 s.
	CacheEventLag time.Duration
	LoadLag       time.Duration
	// KVPerSecond is the rate of KV export and import in tokens a second. Default 100000.
	KVPerSecond float64
	// ChecksFence refuses orders with an old fencing number.
	ChecksFence bool
	// Comment is the time without a token after which a stream gets a comment line. Default 1 s, at most 2 s.
	Comment time.Duration
	// FetchKV asks the source of a handle for it; the default is a call to the source over HTTP.
	FetchKV func(ctx context.Context, handle engine.KVHandle) error
}

// maxComment is the longest time without a byte that a stream may have.
const maxComment = 2 * time.Second

func (c EngineConfig) withDefaults() EngineConfig {
	c.Clock = orWallClock(c.Clock)
	c.PrefillPerSecond = orDefault(c.PrefillPerSecond, 20000)
	c.PrefillChunk = orDefault(c.PrefillChunk, 512)
	c.InterToken = orDefault(c.InterToken, 8*time.Millisecond)
	c.InterTokenEach = orDefault(c.InterTokenEach, 250*time.Microsecond)
	c.MaxBatch = orDefault(c.MaxBatch, 32)
	c.MaxQueue = orDefault(c.MaxQueue, 128)
	c.CacheTokens = orDefault(c.CacheTokens, 1<<18)
	c.CacheEventLag = orDefault(c.CacheEventLag, 500*time.Millisecond)
	c.LoadLag = orDefault(c.LoadLag, time.Second)
	c.KVPerSecond = orDefault(c.KVPerSecond, 100000)
	c.Comment = min(orDefault(c.Comment, time.Second), maxComment)
	if c.FetchKV == nil {
		c.FetchKV = fetchKV
	}
	return c
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
